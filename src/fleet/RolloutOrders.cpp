#include "fleet/RolloutOrders.h"

#include "fleet/RolloutLog.h"

#include <utility>

namespace lacewing {

RolloutOrders::RolloutOrders(const CatalogDecoder& aDecoder)
  : decoder_(aDecoder)
{
}

std::vector<OrderId> RolloutOrders::Update(const CatalogReplica& aReplica,
                                           TimePoint aNow)
{
  read_ = aReplica.PositionOf(CatalogKind::kRollout) != StorePosition() ||
          !aReplica.ObjectsOf(CatalogKind::kRollout).empty();
  std::map<ServiceId, KnownOrder> orders;
  for (const auto& [name, item] : aReplica.ObjectsOf(CatalogKind::kRollout)) {
    UpdateOrder(item, aNow, orders);
  }
  const std::map<ServiceId, KnownOrder> before =
    std::exchange(orders_, std::move(orders));
  std::vector<OrderId> gone;
  for (const auto& [service, known] : before) {
    const KnownOrder* now = Find(service);
    if (now != nullptr && now->order.id == known.order.id) {
      continue;
    }
    LogRollout(LogLevel::kInfo,
               known.order.id,
               now == nullptr ? "order removed" : "order replaced");
    if (!known.order.Ended()) {
      gone.push_back(known.order.id);
    }
  }
  return gone;
}

void RolloutOrders::UpdateOrder(const CatalogItem& aItem,
                                TimePoint aNow,
                                std::map<ServiceId, KnownOrder>& aOrders)
{
  const auto held = orders_.find(ServiceId(aItem.name));
  if (held != orders_.end() && held->second.position == aItem.position) {
    aOrders.insert(*held);
    return;
  }
  const auto decoded = decoder_.DecodeRollout(aItem);
  if (!decoded) {
    StorePosition& loggedAt = unreadable_[aItem.name];
    if (std::exchange(loggedAt, aItem.position) != aItem.position) {
      Log(LogLevel::kError,
          "rollout",
          { { "service", aItem.name },
            { "is", "order ignored" },
            { "error", decoded.error().ToString() } });
    }
    // A version that was rolled back must not come into use by a bad edit.
    if (held != orders_.end() && held->second.order.Ended()) {
      aOrders.insert(*held);
    }
    return;
  }
  KnownOrder known{ decoded.value(), aItem.position, aNow };
  const bool same =
    held != orders_.end() && held->second.order.id == known.order.id;
  if (same) {
    known.readAt = held->second.readAt;
  }
  const RolloutStatus& status = known.order.status;
  const bool statusChanged =
    !same || held->second.order.status.state != status.state ||
    held->second.order.status.version != status.version;
  if (statusChanged) {
    const auto period =
      std::chrono::duration_cast<std::chrono::milliseconds>(known.order.period);
    LogRollout(LogLevel::kInfo,
               known.order.id,
               same                  ? "status read"
               : known.order.Ended() ? "order ignored: it has ended"
               : known.InProgress()  ? "order read"
                                     : "order ignored: it has no valid period",
               { { "status", ToString(status.state) },
                 { "status_version", status.version.value() },
                 { "period_ms", std::to_string(period.count()) },
                 { "position", ToString(aItem.position) } });
  }
  const ServiceId service = known.order.id.service;
  aOrders.emplace(service, std::move(known));
}

std::vector<OrderId> RolloutOrders::Ids() const
{
  std::vector<OrderId> ids;
  for (const auto& [service, known] : orders_) {
    ids.push_back(known.order.id);
  }
  return ids;
}

const KnownOrder* RolloutOrders::Find(const ServiceId& aService) const
{
  const auto found = orders_.find(aService);
  return found == orders_.end() ? nullptr : &found->second;
}

} // namespace lacewing
