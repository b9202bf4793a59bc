#include "load/Verdict.h"

namespace lacewing {

const char* ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kWhole:
      return "whole";
    case Verdict::kMismatched:
      return "mismatched";
    case Verdict::kShort:
      return "short";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kUnknown:
      return "unknown";
    case Verdict::kError:
      return "error";
  }
  return "error";
}

} // namespace lacewing
