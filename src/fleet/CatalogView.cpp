#include "fleet/CatalogView.h"

#include "core/Log.h"
#include "fleet/KeyProblemLog.h"

#include <algorithm>

namespace lacewing {

namespace {

// Targets whose entries expired while the store was away, or that its copy
// lacks, write them again within about two seconds of its return. A target or a
// zone out of service that is still missing after this time is gone.
constexpr Duration kReturnTime = std::chrono::milliseconds(2500);
// A copy of the store may hold entries of targets that have left. The store
// drops them after three heartbeats of 1.5 s without a sign of life.
constexpr Duration kLapseTime = std::chrono::milliseconds(5000);

bool Passed(const std::optional<TimePoint>& aTime,
            TimePoint aAfter,
            TimePoint aUpTo)
{
  return aTime && *aTime > aAfter && *aTime <= aUpTo;
}

} // namespace

CatalogView::CatalogView(const CatalogDecoder& aDecoder, const Clock& aClock)
  : decoder_(aDecoder)
  , clock_(aClock)
{
}

void CatalogView::Update(const CatalogReplica& aReplica,
                         const std::string& aFrom)
{
  updatedAt_ = clock_.Now();
  UpdateRoutes(aReplica, aFrom);
  RemoveTargets(aReplica);
  UpdateTargets(aReplica);
  UpdateZonesOut(aReplica);
}

bool CatalogView::Outdated() const
{
  const TimePoint now = clock_.Now();
  const auto passed = [&](const std::optional<TimePoint>& aTime) {
    return Passed(aTime, updatedAt_, now);
  };
  const auto missingPassed = [&](const std::optional<GraceTime>& aMissing) {
    return aMissing && Passed(aMissing->until, updatedAt_, now);
  };
  return std::any_of(targets_.begin(),
                     targets_.end(),
                     [&](const auto& aTarget) {
                       return passed(aTarget.second.usableFrom) ||
                              missingPassed(aTarget.second.missing);
                     }) ||
         std::any_of(
           zonesOut_.begin(), zonesOut_.end(), [&](const auto& aZone) {
             return missingPassed(aZone.second);
           });
}

bool CatalogView::Keeps(const CatalogReplica& aReplica,
                        CatalogKind aKind,
                        const std::string& aName,
                        std::optional<GraceTime>& aMissing) const
{
  const CatalogItem* removal = aReplica.UnconfirmedRemoval(aKind, aName);
  if (removal == nullptr) {
    return false;
  }
  // The store has been away again since, so the writer needs as long again.
  if (!aMissing || aMissing->removedAt < removal->position) {
    aMissing = GraceTime{ removal->position, updatedAt_ + kReturnTime };
  }
  return aMissing->until > updatedAt_;
}

void CatalogView::UpdateZonesOut(const CatalogReplica& aReplica)
{
  ZonesOut zonesOut;
  for (const auto& [name, item] : aReplica.ObjectsOf(CatalogKind::kZoneOut)) {
    zonesOut.emplace(ZoneId(name), std::nullopt);
  }
  for (auto& [zone, missing] : zonesOut_) {
    if (zonesOut.count(zone) == 0 &&
        Keeps(aReplica, CatalogKind::kZoneOut, zone.value(), missing)) {
      zonesOut.emplace(zone, missing);
    }
  }
  const auto sameZone = [](const auto& aLeft, const auto& aRight) {
    return aLeft.first == aRight.first;
  };
  const bool changed = !std::equal(zonesOut.begin(),
                                   zonesOut.end(),
                                   zonesOut_.begin(),
                                   zonesOut_.end(),
                                   sameZone);
  zonesOut_ = std::move(zonesOut);
  if (changed) {
    std::string names;
    for (const auto& [zone, missing] : zonesOut_) {
      names += (names.empty() ? "" : ",") + zone.value();
    }
    Log(LogLevel::kInfo, "zones-out", { { "zones", names } });
  }
}

void CatalogView::UpdateRoutes(const CatalogReplica& aReplica,
                               const std::string& aFrom)
{
  for (const auto& [name, item] :
       aReplica.ObjectsOf(CatalogKind::kConfiguration)) {
    StorePosition& decodedAt = routesPositions_[name];
    if (item.position == decodedAt) {
      continue;
    }
    decodedAt = item.position;
    const auto routes = decoder_.DecodeConfiguration(item.body);
    if (!routes) {
      Log(LogLevel::kError,
          "configuration",
          { { "position", ToString(item.position) },
            { "error", routes.error().ToString() } });
      continue;
    }
    if (routes_ && routes.value()->Version() < routes_->Version()) {
      Log(LogLevel::kWarning,
          "configuration",
          { { "version", std::to_string(routes.value()->Version().value()) },
            { "ignored", "older than the active configuration" } });
      continue;
    }
    LogKeyProblems(NewKeyProblems(routes_ ? routes_->Customers().Problems()
                                          : std::vector<KeyProblem>(),
                                  routes.value()->Customers().Problems()));
    routes_ = routes.value();
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
      routes_->Limits().idleTimeout);
    Log(LogLevel::kInfo,
        "configuration",
        { { "version", std::to_string(routes_->Version().value()) },
          { "position", ToString(item.position) },
          { "from", aFrom },
          { "routes", std::to_string(routes_->RouteCount()) },
          { "customers",
            routes_->NeedsKeys() ? std::to_string(routes_->Customers().size())
                                 : "none" },
          { "idle_ms", std::to_string(idle.count()) } });
  }
}

/** Removes targets that are gone, or keeps them for a removal's grace time. */
void CatalogView::RemoveTargets(const CatalogReplica& aReplica)
{
  const auto& objects = aReplica.ObjectsOf(CatalogKind::kTarget);
  for (auto held = targets_.begin(); held != targets_.end();) {
    const auto& [name, target] = *held;
    const bool wasKept = target.missing.has_value();
    if (objects.count(name) != 0 ||
        Keeps(aReplica, CatalogKind::kTarget, name, held->second.missing)) {
      if (!wasKept && target.missing) {
        Log(LogLevel::kInfo, "target", { { "id", name }, { "is", "missing" } });
      }
      ++held;
      continue;
    }
    Log(LogLevel::kInfo, "target", { { "id", name }, { "is", "gone" } });
    held = targets_.erase(held);
  }
}

void CatalogView::UpdateTargets(const CatalogReplica& aReplica)
{
  const auto& objects = aReplica.ObjectsOf(CatalogKind::kTarget);
  for (const auto& [name, item] : objects) {
    DecodedTarget& target = targets_[name];
    target.missing.reset();
    if (item.position == target.position) {
      continue;
    }
    // A target in use whose removal was not confirmed stays in use.
    const bool inUse = target.readable && !target.spec.draining &&
                       (!target.usableFrom || *target.usableFrom <= updatedAt_);
    target.position = item.position;
    if (!item.unconfirmed) {
      target.usableFrom.reset();
    } else if (!inUse) {
      target.usableFrom = updatedAt_ + kLapseTime;
    }
    const auto spec = decoder_.DecodeTarget(name, item.body);
    target.readable = static_cast<bool>(spec);
    if (!spec) {
      Log(LogLevel::kWarning,
          "target",
          { { "id", name }, { "error", spec.error().ToString() } });
      continue;
    }
    const bool isNew = target.spec.id.empty() ||
                       target.spec.draining != spec.value().draining ||
                       target.spec.incarnation != spec.value().incarnation;
    target.spec = spec.value();
    if (isNew) {
      Log(LogLevel::kInfo,
          "target",
          { { "id", name },
            { "is", target.spec.draining ? "draining" : "usable" },
            { "service", target.spec.service.value() },
            { "zone", target.spec.zone.value() },
            { "position", ToString(item.position) } });
    }
  }
}

std::vector<TargetSpec> CatalogView::UsableTargets() const
{
  std::vector<TargetSpec> usable;
  for (const auto& [name, target] : targets_) {
    const bool confirmed =
      !target.usableFrom || *target.usableFrom <= updatedAt_;
    if (target.readable && confirmed && !target.spec.draining &&
        zonesOut_.count(target.spec.zone) == 0) {
      usable.push_back(target.spec);
    }
  }
  return usable;
}

} // namespace lacewing
