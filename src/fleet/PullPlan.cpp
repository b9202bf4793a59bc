#include "fleet/PullPlan.h"

#include "fleet/PositionOrder.h"

#include <tuple>

namespace lacewing {

namespace {

// Peers that were not heard for this long have probably stopped. Heartbeats in
// zones of up to 96 hosts and digests of other zones come every 1.2 s or less.
constexpr Duration kSourceLifetime = std::chrono::seconds(3);
// Network partitions and pauses last seconds.
constexpr Duration kAvoidTime = std::chrono::seconds(5);
// A peer that refuses connections must not be asked in a loop.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

} // namespace

void PullPlan::NotePeer(const PeerAddress& aPeer,
                        const std::vector<StorePosition>& aPositions,
                        TimePoint aNow)
{
  Source& source = sources_[aPeer.host];
  source.address = aPeer;
  source.positions = aPositions;
  source.heardAt = aNow;
}

bool PullPlan::MayBeginAnother(TimePoint aNow) const
{
  std::size_t running = 0;
  for (const auto& [host, source] : sources_) {
    if (source.askedAt) {
      ++running;
      if (aNow < *source.askedAt + kPatience) {
        return false;
      }
    }
  }
  return running < kMaxPulls;
}

std::optional<PeerAddress> PullPlan::Begin(
  const std::vector<StorePosition>& aReached,
  TimePoint aNow)
{
  Forget(aNow);
  if (!MayBeginAnother(aNow)) {
    return std::nullopt;
  }
  // A silent peer may go on sending heartbeats, so failures weigh more than
  // how lately a peer was heard.
  const auto rank = [&](const Source& aSource) {
    const bool failed =
      aSource.failedAt && aNow < *aSource.failedAt + kAvoidTime;
    return std::make_tuple(!failed, aSource.heardAt);
  };
  Source* best = nullptr;
  for (auto& [host, source] : sources_) {
    const bool rests = source.failedAt && aNow < *source.failedAt + kRetryDelay;
    if (!source.askedAt && !rests && IsAhead(source.positions, aReached) &&
        (best == nullptr || rank(*best) < rank(source))) {
      best = &source;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  best->askedAt = aNow;
  return best->address;
}

void PullPlan::End(const HostId& aHost, bool aSucceeded, TimePoint aNow)
{
  const auto source = sources_.find(aHost);
  if (source == sources_.end()) {
    return;
  }
  source->second.askedAt.reset();
  source->second.failedAt =
    aSucceeded ? std::nullopt : std::optional<TimePoint>(aNow);
}

std::vector<StorePosition> PullPlan::PositionsOf(const HostId& aHost) const
{
  const auto source = sources_.find(aHost);
  return source == sources_.end() ? std::vector<StorePosition>()
                                  : source->second.positions;
}

void PullPlan::Forget(TimePoint aNow)
{
  for (auto at = sources_.begin(); at != sources_.end();) {
    const Source& source = at->second;
    const bool gone =
      !source.askedAt && source.heardAt + kSourceLifetime < aNow;
    at = gone ? sources_.erase(at) : std::next(at);
  }
}

} // namespace lacewing
