#include "fleet/VersionHold.h"

#include <algorithm>

namespace lacewing {

namespace {

// A version whose targets were away for less than this, as while a zone is out
// of service, is not new when they are back.
constexpr Duration kForgetTime = std::chrono::seconds(60);

} // namespace

void VersionHold::OnOrdersRead(TimePoint aNow)
{
  if (ordersRead_) {
    return;
  }
  ordersRead_ = true;
  for (auto& [service, versions] : services_) {
    for (auto& [version, entry] : versions) {
      if (entry.waitsForOrders) {
        entry.waitsForOrders = false;
        entry.usableFrom = std::min(entry.usableFrom, aNow);
      }
    }
  }
}

void VersionHold::Update(TimePoint aNow,
                         const ServiceId& aService,
                         const std::set<ServiceVersion>& aVersions)
{
  Versions& known = services_[aService];
  const bool first = known.empty();
  const bool others =
    std::any_of(known.begin(), known.end(), [&](const auto& aKnown) {
      return aVersions.count(aKnown.first) != 0;
    });
  for (const ServiceVersion& version : aVersions) {
    const auto [place, added] = known.try_emplace(version);
    Entry& entry = place->second;
    entry.lastSeen = aNow;
    if (added) {
      entry.waitsForOrders = first && !ordersRead_ && aVersions.size() > 1;
      const bool held = entry.waitsForOrders || (!first && others);
      entry.usableFrom = held ? aNow + kVersionHoldTime : aNow;
    }
  }
  for (auto version = known.begin(); version != known.end();) {
    const bool gone = version->second.lastSeen + kForgetTime < aNow;
    version = gone ? known.erase(version) : std::next(version);
  }
}

void VersionHold::Hold(TimePoint aNow,
                       const ServiceId& aService,
                       const ServiceVersion& aVersion)
{
  const auto service = services_.find(aService);
  if (service == services_.end()) {
    return;
  }
  const auto entry = service->second.find(aVersion);
  if (entry != service->second.end() && service->second.size() > 1) {
    entry->second.usableFrom = aNow + kVersionHoldTime;
  }
}

const VersionHold::Entry* VersionHold::Find(
  const ServiceId& aService,
  const ServiceVersion& aVersion) const
{
  const auto service = services_.find(aService);
  if (service == services_.end()) {
    return nullptr;
  }
  const auto entry = service->second.find(aVersion);
  return entry == service->second.end() ? nullptr : &entry->second;
}

bool VersionHold::IsHeld(TimePoint aNow,
                         const ServiceId& aService,
                         const ServiceVersion& aVersion) const
{
  const Entry* entry = Find(aService, aVersion);
  return entry != nullptr && aNow < entry->usableFrom;
}

bool VersionHold::WasUsed(TimePoint aTime,
                          const ServiceId& aService,
                          const ServiceVersion& aVersion) const
{
  const Entry* entry = Find(aService, aVersion);
  return entry != nullptr && entry->usableFrom < aTime;
}

std::optional<TimePoint> VersionHold::NextRelease(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, entry] : versions) {
      if (entry.usableFrom > aNow && (!next || entry.usableFrom < *next)) {
        next = entry.usableFrom;
      }
    }
  }
  return next;
}

} // namespace lacewing
