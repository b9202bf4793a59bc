#include "decision/GrantHolder.h"

#include "core/StableHash.h"

namespace lacewing {

namespace {

// A want is repeated in this part of the time that the ledger keeps it, so
// that one lost message costs little.
constexpr int kWantPart = 4;
// A grant is renewed when half of its time is over.
constexpr int kRenewPart = 2;

} // namespace

GrantHolder::GrantHolder(const Clock& aClock,
                         const GrantTerms& aTerms,
                         GrantAsker aAsker)
  : clock_(aClock)
  , terms_(aTerms)
  , asker_(std::move(aAsker))
{
}

std::optional<GrantWant> GrantHolder::OnWanted(const TargetId& aTarget,
                                               Epoch aEpoch,
                                               SlotCount aSlots)
{
  const TimePoint now = clock_.Now();
  Entry& entry = entries_[aTarget];
  const bool enough = entry.held && entry.held->slots >= aSlots &&
                      entry.held->epoch >= aEpoch &&
                      entry.held->expiry - now > terms_.grantTime / kRenewPart;
  if (enough || aSlots == SlotCount(0) ||
      now - entry.lastWant < terms_.wantTime / kWantPart) {
    return std::nullopt;
  }
  entry.lastWant = now;
  GrantWant want;
  want.asker = asker_;
  want.target = aTarget;
  want.epoch = aEpoch;
  want.slots = aSlots;
  want.sent = now;
  return want;
}

bool GrantHolder::OnGrant(const Grant& aGrant)
{
  if (!(aGrant.asker == asker_)) {
    return false;
  }
  Entry& entry = entries_[aGrant.target];
  const TimePoint expiry = aGrant.wantSent + terms_.margin.Shorten(aGrant.time);
  if (aGrant.id <= entry.last) {
    return false;
  }
  entry.last = aGrant.id;
  entry.held = HeldGrant{ aGrant.target, aGrant.epoch, aGrant.slots, expiry };
  return true;
}

void GrantHolder::Withdraw(const TargetId& aTarget)
{
  const auto found = entries_.find(aTarget);
  if (found != entries_.end()) {
    found->second.held.reset();
  }
}

bool GrantHolder::AwaitsReturn(const TargetId& aTarget) const
{
  const auto found = entries_.find(aTarget);
  if (found == entries_.end()) {
    return false;
  }
  const Entry& entry = found->second;
  const bool used = entry.held && clock_.Now() < entry.held->expiry;
  return !used && entry.returned < entry.last;
}

std::optional<GrantReturn> GrantHolder::OnIdle(const TargetId& aTarget)
{
  if (!AwaitsReturn(aTarget)) {
    return std::nullopt;
  }
  Entry& entry = entries_.at(aTarget);
  entry.held.reset();
  entry.returned = entry.last;
  return GrantReturn{ asker_, aTarget, entry.last };
}

std::vector<HeldGrant> GrantHolder::HeldBy(std::size_t aWorker,
                                           std::size_t aWorkers) const
{
  std::vector<HeldGrant> grants;
  for (const auto& [target, entry] : entries_) {
    if (!entry.held || entry.held->expiry <= clock_.Now()) {
      continue;
    }
    // Workers take turns in an order that differs between targets.
    const std::size_t turn =
      (aWorker + StableHash64(target.value())) % aWorkers;
    const std::size_t slots = entry.held->slots.value();
    const std::size_t part =
      slots / aWorkers + (turn < slots % aWorkers ? 1 : 0);
    if (part > 0) {
      grants.push_back(*entry.held);
      grants.back().slots = SlotCount(static_cast<std::uint32_t>(part));
    }
  }
  return grants;
}

} // namespace lacewing
