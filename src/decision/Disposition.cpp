#include "decision/Disposition.h"

namespace lacewing {

const char* ToString(Disposition aDisposition)
{
  switch (aDisposition) {
    case Disposition::kRan:
      return "ran";
    case Disposition::kNotRun:
      return "not-run";
    case Disposition::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace lacewing
