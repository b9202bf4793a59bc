#ifndef BALANCE_TARGETGROUP_H
#define BALANCE_TARGETGROUP_H

namespace lacewing {

/** Which of a service's targets a search may choose from. */
enum class TargetGroup
{
  /** The targets of the version in use, or of all versions. */
  kUsual,
  /** The targets on which a rollout tries a new version. */
  kCanary,
};

} // namespace lacewing

#endif // BALANCE_TARGETGROUP_H
