#ifndef CHECK_CHECKRESULT_H
#define CHECK_CHECKRESULT_H

#include "check/CheckExit.h"
#include "check/Finding.h"
#include "lacewing/Error.h"

#include <optional>
#include <string>

namespace lacewing {

/** All that a check has to tell. */
struct CheckResult
{
  CheckExit exit = CheckExit::kInOrder;
  Findings findings;
  /** Set if a file could not be read. */
  std::optional<Error> error;
};

/** The result as lines for people. */
std::string TextOf(const CheckResult& aResult);
/** The result as one JSON object. */
std::string JsonOf(const CheckResult& aResult);

} // namespace lacewing

#endif // CHECK_CHECKRESULT_H
