#include "catalog/KeyFault.h"

namespace lacewing {

const char* ToString(KeyFault aFault)
{
  switch (aFault) {
    case KeyFault::kEmpty:
      return "empty";
    case KeyFault::kTooLong:
      return "too-long";
    case KeyFault::kNotSendable:
      return "not-sendable";
    case KeyFault::kAmbiguous:
      return "ambiguous";
    case KeyFault::kBadName:
      return "bad-name";
  }
  return "";
}

} // namespace lacewing
