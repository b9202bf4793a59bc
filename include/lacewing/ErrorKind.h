#ifndef LACEWING_ERRORKIND_H
#define LACEWING_ERRORKIND_H

namespace lacewing {

/** What went wrong, for code that reacts to it. */
enum class ErrorKind
{
  kInvalidArgument,
  kInvalidSettings,
  kInvalidSheet,
  kInvalidMessage,
  kTooLarge,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kRateLimited,
  kRefused,
  kInternal,
};

/** The kind in lower case with hyphens, as it appears in logs. */
const char* ToString(ErrorKind aKind);

} // namespace lacewing

#endif // LACEWING_ERRORKIND_H
