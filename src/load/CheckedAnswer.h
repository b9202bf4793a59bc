#ifndef LOAD_CHECKEDANSWER_H
#define LOAD_CHECKEDANSWER_H

#include "load/ExpectedAnswer.h"
#include "load/Verdict.h"
#include "net/HttpCallResult.h"

#include <string>

namespace lacewing {

/** The verdict on a call and a word that says why. */
struct CheckedAnswer
{
  Verdict verdict = Verdict::kError;
  /** Lacewing-Reason, or a word of the load tool. */
  std::string reason;
};

/** Compares a call's end with what its request has to bring. */
CheckedAnswer CheckAnswer(const HttpCallResult& aResult,
                          const ExpectedAnswer& aExpected);

} // namespace lacewing

#endif // LOAD_CHECKEDANSWER_H
