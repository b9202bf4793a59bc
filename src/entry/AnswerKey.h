#ifndef ENTRY_ANSWERKEY_H
#define ENTRY_ANSWERKEY_H

#include "decision/Disposition.h"

#include <string>
#include <tuple>

namespace lacewing {

/** Groups answers for counting. */
struct AnswerKey
{
  Disposition disposition = Disposition::kNotRun;
  /** The word of the Lacewing-Reason header. */
  std::string reason;

  friend bool operator<(const AnswerKey& aLeft, const AnswerKey& aRight)
  {
    return std::tie(aLeft.disposition, aLeft.reason) <
           std::tie(aRight.disposition, aRight.reason);
  }
};

} // namespace lacewing

#endif // ENTRY_ANSWERKEY_H
