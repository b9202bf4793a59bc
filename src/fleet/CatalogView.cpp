#include "fleet/CatalogView.h"

#include "core/Log.h"

namespace lacewing {

CatalogView::CatalogView(const CatalogDecoder& aDecoder)
  : decoder_(aDecoder)
{
}

void CatalogView::Update(const CatalogReplica& aReplica)
{
  UpdateRoutes(aReplica);
  UpdateTargets(aReplica);
  std::set<ZoneId> zonesOut;
  for (const auto& [name, item] : aReplica.ObjectsOf(CatalogKind::kZoneOut)) {
    zonesOut.insert(ZoneId(name));
  }
  if (zonesOut != zonesOut_) {
    zonesOut_ = std::move(zonesOut);
    std::string names;
    for (const ZoneId& zone : zonesOut_) {
      names += (names.empty() ? "" : ",") + zone.value();
    }
    Log(LogLevel::kInfo, "zones-out", { { "zones", names } });
  }
}

void CatalogView::UpdateRoutes(const CatalogReplica& aReplica)
{
  for (const auto& [name, item] :
       aReplica.ObjectsOf(CatalogKind::kConfiguration)) {
    if (item.revision <= routesRevision_) {
      continue;
    }
    routesRevision_ = item.revision;
    const auto routes = decoder_.DecodeConfiguration(item.body);
    if (!routes) {
      Log(LogLevel::kError,
          "configuration",
          { { "revision", std::to_string(item.revision.value()) },
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
    routes_ = routes.value();
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
      routes_->Limits().idleTimeout);
    Log(LogLevel::kInfo,
        "configuration",
        { { "version", std::to_string(routes_->Version().value()) },
          { "revision", std::to_string(item.revision.value()) },
          { "routes", std::to_string(routes_->RouteCount()) },
          { "idle_ms", std::to_string(idle.count()) } });
  }
}

void CatalogView::UpdateTargets(const CatalogReplica& aReplica)
{
  const auto& objects = aReplica.ObjectsOf(CatalogKind::kTarget);
  for (auto held = targets_.begin(); held != targets_.end();) {
    if (objects.count(held->first) == 0) {
      Log(
        LogLevel::kInfo, "target", { { "id", held->first }, { "is", "gone" } });
      held = targets_.erase(held);
    } else {
      ++held;
    }
  }
  for (const auto& [name, item] : objects) {
    DecodedTarget& target = targets_[name];
    if (item.revision <= target.revision) {
      continue;
    }
    target.revision = item.revision;
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
            { "revision", std::to_string(item.revision.value()) } });
    }
  }
}

std::vector<TargetSpec> CatalogView::UsableTargets() const
{
  std::vector<TargetSpec> usable;
  for (const auto& [name, target] : targets_) {
    if (target.readable && !target.spec.draining &&
        zonesOut_.count(target.spec.zone) == 0) {
      usable.push_back(target.spec);
    }
  }
  return usable;
}

} // namespace lacewing
