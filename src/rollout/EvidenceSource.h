#ifndef ROLLOUT_EVIDENCESOURCE_H
#define ROLLOUT_EVIDENCESOURCE_H

#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"

namespace lacewing {

/** The run of a host that sent evidence. */
struct EvidenceSource
{
  HostId host;
  Incarnation incarnation;

  friend bool operator==(const EvidenceSource& aLeft,
                         const EvidenceSource& aRight)
  {
    return aLeft.host == aRight.host && aLeft.incarnation == aRight.incarnation;
  }
  friend bool operator!=(const EvidenceSource& aLeft,
                         const EvidenceSource& aRight)
  {
    return !(aLeft == aRight);
  }
};

} // namespace lacewing

#endif // ROLLOUT_EVIDENCESOURCE_H
