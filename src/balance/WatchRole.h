#ifndef BALANCE_WATCHROLE_H
#define BALANCE_WATCHROLE_H

namespace lacewing {

/** How a host takes part in watching the store. */
enum class WatchRole
{
  kNone,
  /** Stands by: hears of changes from the first, and may be later. */
  kStandby,
  kPrimary,
};

const char* ToString(WatchRole aRole);

} // namespace lacewing

#endif // BALANCE_WATCHROLE_H
