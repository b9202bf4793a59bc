#ifndef CONFIG_FIELDCHANGE_H
#define CONFIG_FIELDCHANGE_H

#include <string>

namespace lacewing {

/** One field of an object with its values as sheets write them. */
struct FieldChange
{
  std::string field;
  /** Empty for an added object. */
  std::string before;
  /** Empty for a removed object. */
  std::string after;
};

} // namespace lacewing

#endif // CONFIG_FIELDCHANGE_H
