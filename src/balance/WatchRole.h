#ifndef BALANCE_WATCHROLE_H
#define BALANCE_WATCHROLE_H

namespace lacewing {

/** A host's role in watching the store for changes. */
enum class WatchRole
{
  /** Does not watch; gets changes from its peers. */
  kNone,
  /** Also watches, but gets most changes from the primary. */
  kStandby,
  /** Watches, and fetches changes with a shorter delay than a standby. */
  kPrimary,
};

const char* ToString(WatchRole aRole);

} // namespace lacewing

#endif // BALANCE_WATCHROLE_H
