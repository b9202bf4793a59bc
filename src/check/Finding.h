#ifndef CHECK_FINDING_H
#define CHECK_FINDING_H

#include "check/FindingSeverity.h"

#include <string>
#include <vector>

namespace lacewing {

/** One result of the check of a configuration; never contains a key. */
struct Finding
{
  FindingSeverity severity = FindingSeverity::kError;
  /** The entry that it is about, such as route "r1". */
  std::string place;
  /** What was found. */
  std::string text;
  /** What the operator can do; empty for a difference. */
  std::string remedy;
};

using Findings = std::vector<Finding>;

} // namespace lacewing

#endif // CHECK_FINDING_H
