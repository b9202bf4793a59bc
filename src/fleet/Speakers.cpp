#include "fleet/Speakers.h"

#include "balance/TargetOwner.h"

namespace lacewing {

bool IsZoneSpeaker(const HostId& aHost,
                   const std::vector<OwnerCandidate>& aZone)
{
  constexpr unsigned kSpeakers = 2;
  return IsAmongHighest(aHost, aZone, "speak", kSpeakers);
}

} // namespace lacewing
