#ifndef CONFIG_OBJECTKIND_H
#define CONFIG_OBJECTKIND_H

namespace lacewing {

/** The kinds of things that operators describe. */
enum class ObjectKind
{
  kService,
  kZone,
  kHost,
  kTarget,
};

/** "service", "zone", "host" or "target". */
const char* ToString(ObjectKind aKind);

} // namespace lacewing

#endif // CONFIG_OBJECTKIND_H
