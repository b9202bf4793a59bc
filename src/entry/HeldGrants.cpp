#include "entry/HeldGrants.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// A grant is renewed when less than this is left of it, so that the answer
// comes in time over two hops between zones.
constexpr Duration kRenewBefore = std::chrono::milliseconds(500);

// A grant that nobody used for so long goes back before its time has passed.
constexpr Duration kIdleTime = std::chrono::milliseconds(300);

SlotCount Demand(const GrantShare& aShare)
{
  return aShare.inFlight + aShare.wanted;
}

SlotCount SumOf(const TargetGrant& aGrant,
                SlotCount (*aPart)(const GrantShare&))
{
  SlotCount sum;
  for (const GrantShare& share : aGrant.shares) {
    sum += aPart(share);
  }
  return sum;
}

SlotCount Ceiling(const GrantShare& aShare)
{
  return aShare.ceiling;
}

SlotCount Wanted(const GrantShare& aShare)
{
  return aShare.wanted;
}

} // namespace

HeldGrants::HeldGrants(const Clock& aClock,
                       HostId aHost,
                       Incarnation aIncarnation,
                       std::size_t aWorkers)
  : clock_(aClock)
  , host_(std::move(aHost))
  , incarnation_(aIncarnation)
  , inFlight_(aWorkers)
  , rounds_(aWorkers)
  , changed_(aWorkers, false)
{
}

void HeldGrants::OnReport(const WorkerReport& aReport)
{
  const std::size_t worker = aReport.worker.value();
  auto& inFlight = inFlight_.at(worker);
  // A target without an observation has not changed and is not wanted.
  for (auto& [target, grant] : grants_) {
    grant.shares[worker].wanted = SlotCount(0);
  }
  for (const TargetObservation& seen : aReport.observations) {
    if (seen.inFlight == SlotCount(0)) {
      inFlight.erase(seen.target);
    } else {
      inFlight[seen.target] = seen.inFlight;
    }
    const auto found = grants_.find(seen.target);
    if (found != grants_.end() || seen.wanted > SlotCount(0)) {
      TargetGrant& grant = GrantOf(seen.target);
      grant.shares[worker].inFlight = seen.inFlight;
      grant.shares[worker].wanted = seen.wanted;
      if (seen.answered + seen.failed > 0) {
        grant.lastUse = clock_.Now();
      }
    }
  }
  for (auto& [target, grant] : grants_) {
    GrantShare& share = grant.shares[worker];
    if (aReport.grantRound >= share.round) {
      share.ceiling = std::max(share.assigned, share.inFlight);
    }
    if (Demand(share) > SlotCount(0)) {
      grant.lastUse = clock_.Now();
    }
  }
}

void HeldGrants::OnGrant(const GrantEntry& aGrant)
{
  const TimePoint sent(aGrant.sent);
  if (aGrant.host != host_ || aGrant.incarnation != incarnation_ ||
      sent > clock_.Now()) {
    return;
  }
  TargetGrant& grant = GrantOf(aGrant.target);
  if (aGrant.id <= grant.id) {
    return;
  }
  const bool renewed = grant.id != GrantId() && !grant.returned;
  grant.id = aGrant.id;
  grant.returned = false;
  grant.epoch = aGrant.epoch;
  grant.slots = aGrant.slots;
  // The time counts from the sending of the want, so that transit time never
  // extends the grant.
  grant.expiry = sent + margin_.Shorten(aGrant.time);
  if (renewed) {
    grant.first = (grant.first + 1) % grant.shares.size();
  }
  for (std::size_t worker = 0; worker < grant.shares.size(); ++worker) {
    changed_[worker] =
      changed_[worker] || grant.shares[worker].assigned > SlotCount(0);
  }
}

void HeldGrants::Keep(const std::set<TargetId>& aTargets)
{
  for (auto entry = grants_.begin(); entry != grants_.end();) {
    if (aTargets.count(entry->first) == 0) {
      entry = grants_.erase(entry);
      changed_.assign(changed_.size(), true);
    } else {
      ++entry;
    }
  }
}

void HeldGrants::Balance()
{
  for (auto& [target, grant] : grants_) {
    Balance(grant);
  }
}

void HeldGrants::Balance(TargetGrant& aGrant)
{
  const std::vector<SlotCount> desired = DesiredSplit(aGrant);
  for (std::size_t worker = 0; worker < desired.size(); ++worker) {
    if (desired[worker] < aGrant.shares[worker].assigned) {
      Assign(aGrant, worker, desired[worker]);
    }
  }
  for (std::size_t worker = 0; worker < desired.size(); ++worker) {
    GrantShare& share = aGrant.shares[worker];
    const SlotCount used = SumOf(aGrant, &Ceiling) - share.ceiling;
    const SlotCount room =
      aGrant.slots > used ? aGrant.slots - used : SlotCount(0);
    const SlotCount slots = std::min(desired[worker], room);
    if (slots > share.assigned) {
      Assign(aGrant, worker, slots);
    }
  }
}

void HeldGrants::Assign(TargetGrant& aGrant,
                        std::size_t aWorker,
                        SlotCount aSlots)
{
  GrantShare& share = aGrant.shares[aWorker];
  share.assigned = aSlots;
  share.ceiling = std::max(share.ceiling, aSlots);
  // The list that the worker gets next carries the assignment.
  share.round = rounds_[aWorker] + GrantRound(1);
  changed_[aWorker] = true;
}

std::vector<SlotCount> HeldGrants::DesiredSplit(const TargetGrant& aGrant) const
{
  const std::size_t workers = aGrant.shares.size();
  std::vector<SlotCount> desired(workers);
  if (Ends(aGrant)) {
    return desired;
  }
  std::uint32_t left = aGrant.slots.value();
  for (bool given = true; given && left > 0;) {
    given = false;
    for (std::size_t i = 0; i < workers && left > 0; ++i) {
      const std::size_t worker = (aGrant.first + i) % workers;
      if (desired[worker] < Demand(aGrant.shares[worker])) {
        ++desired[worker];
        --left;
        given = true;
      }
    }
  }
  // A slot that nobody wants now stays where it is, for the next request.
  for (std::size_t worker = 0; worker < workers; ++worker) {
    while (left > 0 && desired[worker] < aGrant.shares[worker].assigned) {
      ++desired[worker];
      --left;
    }
  }
  return desired;
}

bool HeldGrants::Ends(const TargetGrant& aGrant) const
{
  const TimePoint now = clock_.Now();
  return aGrant.id == GrantId() || now >= aGrant.expiry ||
         now - aGrant.lastUse > kIdleTime;
}

std::optional<std::vector<HeldGrant>> HeldGrants::TakeListFor(WorkerId aWorker)
{
  const std::size_t worker = aWorker.value();
  if (!changed_.at(worker)) {
    return std::nullopt;
  }
  changed_[worker] = false;
  ++rounds_[worker];
  std::vector<HeldGrant> list;
  for (const auto& [target, grant] : grants_) {
    const SlotCount slots = grant.shares[worker].assigned;
    if (slots > SlotCount(0)) {
      list.push_back({ target, grant.epoch, slots, grant.expiry });
    }
  }
  return list;
}

GrantRound HeldGrants::RoundOf(WorkerId aWorker) const
{
  return rounds_.at(aWorker.value());
}

std::vector<GrantWantEntry> HeldGrants::TakeWants(const KnownPhases& aPhases)
{
  std::vector<GrantWantEntry> wants;
  const TimePoint now = clock_.Now();
  for (auto& [target, grant] : grants_) {
    SlotCount demand = SumOf(grant, &Demand);
    if (!Ends(grant)) {
      // Requests that come and go between reports keep one slot.
      demand = std::max(demand, SlotCount(1));
    }
    const bool more = SumOf(grant, &Wanted) > SlotCount(0) &&
                      (grant.id == GrantId() || demand > grant.slots);
    const bool renew =
      grant.id != GrantId() && grant.expiry - now < kRenewBefore;
    if (demand == SlotCount(0) || (!more && !renew)) {
      continue;
    }
    GrantWantEntry want;
    want.host = host_;
    want.incarnation = incarnation_;
    want.target = target;
    want.epoch = aPhases.Find(target).epoch;
    want.slots = demand;
    want.sent = now.time_since_epoch();
    wants.push_back(std::move(want));
  }
  return wants;
}

std::vector<GrantReturnEntry> HeldGrants::TakeReturns()
{
  std::vector<GrantReturnEntry> returns;
  for (auto entry = grants_.begin(); entry != grants_.end();) {
    TargetGrant& grant = entry->second;
    if (SumOf(grant, &Ceiling) > SlotCount(0) || !Ends(grant)) {
      ++entry;
      continue;
    }
    // An ended grant goes back also while requests wait for the next one.
    // Otherwise the lease holder counts it for the longest deadline, and no
    // host gets the slot meanwhile.
    if (grant.id != GrantId() && !std::exchange(grant.returned, true)) {
      grant.slots = SlotCount(0);
      GrantReturnEntry given;
      given.host = host_;
      given.incarnation = incarnation_;
      given.target = entry->first;
      given.lastGrant = grant.id;
      returns.push_back(std::move(given));
    }
    entry = SumOf(grant, &Demand) > SlotCount(0) ? std::next(entry)
                                                 : grants_.erase(entry);
  }
  return returns;
}

std::map<TargetId, SlotCount> HeldGrants::HeldSlots() const
{
  std::map<TargetId, SlotCount> held;
  for (const auto& [target, grant] : grants_) {
    if (!Ends(grant)) {
      held.emplace(target, grant.slots);
    }
  }
  return held;
}

TargetGrant& HeldGrants::GrantOf(const TargetId& aTarget)
{
  TargetGrant& grant = grants_[aTarget];
  if (grant.shares.empty()) {
    grant.shares.resize(inFlight_.size());
    grant.lastUse = clock_.Now();
    for (std::size_t worker = 0; worker < inFlight_.size(); ++worker) {
      const auto found = inFlight_[worker].find(aTarget);
      if (found != inFlight_[worker].end()) {
        grant.shares[worker].inFlight = found->second;
        grant.shares[worker].ceiling = found->second;
      }
    }
  }
  return grant;
}

} // namespace lacewing
