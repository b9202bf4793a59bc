#ifndef CONFIG_CHANGEKIND_H
#define CONFIG_CHANGEKIND_H

namespace lacewing {

/** What happens to an object between two configurations. */
enum class ChangeKind
{
  kAdded,
  kRemoved,
  kChanged,
};

/** "added", "removed" or "changed". */
const char* ToString(ChangeKind aKind);

} // namespace lacewing

#endif // CONFIG_CHANGEKIND_H
