#include "fleet/Speakers.h"

#include "balance/TargetOwner.h"

namespace lacewing {

namespace {

constexpr unsigned kSpeakers = 2;
constexpr const char* kTask = "speak";

} // namespace

bool IsZoneSpeaker(const HostId& aHost,
                   const std::vector<OwnerCandidate>& aZone)
{
  return IsAmongHighest(aHost, aZone, kTask, kSpeakers);
}

std::set<HostId> SpeakersOf(const std::vector<OwnerCandidate>& aZone)
{
  return HighestHosts(aZone, kTask, kSpeakers);
}

} // namespace lacewing
