#ifndef HTTP_STATUSLINECHECK_H
#define HTTP_STATUSLINECHECK_H

#include <string>
#include <string_view>

namespace lacewing {

/**
 * Checks the status line of one answer, of which http_parser takes any number
 * of digits and any version. Empty lines in front of it are skipped, as
 * http_parser does.
 */
class StatusLineCheck
{
public:
  /** Reads the next bytes of the answer; needless once Done(). */
  void Read(std::string_view aBytes);

  /** Whether version and status have been read. */
  bool Done() const { return done_; }

  /** Whether the answer has no valid status; false before Done(). */
  bool Failed() const { return failed_; }

private:
  /** The line as far as it has been read, kStatusPrefixSize bytes at most. */
  std::string prefix_;
  bool done_ = false;
  bool failed_ = false;
};

} // namespace lacewing

#endif // HTTP_STATUSLINECHECK_H
