#ifndef NET_READMETERPRIV_H
#define NET_READMETERPRIV_H

#include "core/ReadBudget.h"

#include <memory>
#include <string>

namespace lacewing {

/** Charges what one connection has read of a request to a ReadBudget. */
class ReadMeter
{
public:
  /**
   * aRefusal is sent as it stands to a caller whose request does not fit in
   * the budget, aMalformed to one whose request cannot be parsed.
   */
  ReadMeter(std::shared_ptr<ReadBudget> aBudget,
            const std::string& aRefusal,
            const std::string& aMalformed);
  ~ReadMeter();
  ReadMeter(const ReadMeter&) = delete;
  ReadMeter& operator=(const ReadMeter&) = delete;

  /** Counts bytes read; false when the budget is used up. */
  bool OnRead(ByteCount aBytes);

  /** A whole request was read; its memory is now the handler's matter. */
  void OnRequest();
  /** The answer of a request was written. */
  void OnWritten() { --unanswered_; }

  /** The bytes to send before closing; empty while answers are under way. */
  std::string Refusal() const;
  std::string Malformed() const;

  bool InRequest() const { return read_ > ByteCount(0); }

private:
  std::shared_ptr<ReadBudget> budget_;
  const std::string& refusal_;
  const std::string& malformed_;
  ByteCount read_;
  ByteCount charged_;
  unsigned unanswered_ = 0;
};

} // namespace lacewing

#endif // NET_READMETERPRIV_H
