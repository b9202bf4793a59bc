#ifndef CATALOG_KEYFAULT_H
#define CATALOG_KEYFAULT_H

namespace lacewing {

/** Why an API key of a configuration identifies no customer. */
enum class KeyFault
{
  /** Empty, or not a text. */
  kEmpty,
  /** Longer than CustomerTable::kMaxKeySize. */
  kTooLong,
  /** Has control characters, or begins or ends with a space. */
  kNotSendable,
  /** Two customers have it. */
  kAmbiguous,
  /** The name of its customer is empty or cannot be sent to a target. */
  kBadName,
};

/** The fault's name in logs. */
const char* ToString(KeyFault aFault);

} // namespace lacewing

#endif // CATALOG_KEYFAULT_H
