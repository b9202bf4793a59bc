#include "soak/StoreDrill.h"

#include <utility>

namespace lacewing {

namespace {

constexpr int kLeastOutageMs = 100;
constexpr int kMostOutageMs = 1500;
// Writers notice within about two seconds of the return what was lost.
constexpr Duration kRewriteWithin = std::chrono::milliseconds(2000);
// Entries are dropped after three heartbeats of 1.5 s without a sign of life.
constexpr Duration kSilentFor = std::chrono::milliseconds(4500);

} // namespace

StoreDrill::StoreDrill(SoakWorld& aWorld,
                       std::mt19937_64& aRandom,
                       std::function<void()> aLaterChange)
  : world_(aWorld)
  , random_(aRandom)
  , laterChange_(std::move(aLaterChange))
{
}

TimePoint StoreDrill::Start(Duration aAge)
{
  const TimePoint now = world_.Time().Now();
  if (std::exchange(active_, true)) {
    return now;
  }
  std::uniform_int_distribution<int> outage(kLeastOutageMs, kMostOutageMs);
  outage_ = std::chrono::milliseconds(outage(random_));
  if (random_() % 2 == 0) {
    outage_ = Duration(0);
  }
  world_.Store().TakeCopy();
  world_.After(aAge, [this] { GoAway(); });
  return now + aAge + outage_ + kRewriteWithin;
}

void StoreDrill::GoAway()
{
  world_.OnStoreAway(world_.Time().Now() + outage_ + kRewriteWithin);
  if (outage_ == Duration(0)) {
    ComeBack();
    return;
  }
  world_.Store().SetFault(StoreFault::kUnresponsive);
  world_.After(outage_, [this] {
    world_.Store().SetFault(StoreFault::kNone);
    ComeBack();
  });
}

void StoreDrill::ComeBack()
{
  world_.Store().RestoreCopy();
  world_.OnStoreBack();
  laterChange_();
  RewriteLater([this] { world_.RewriteConfiguration(); });
  RewriteLater([this] { world_.RewriteZonesOut(); });
  for (const SoakServer& server : world_.Servers()) {
    RewriteLater([this, id = server.spec.id] { world_.RewriteServer(id); });
  }
  world_.After(kSilentFor, [this] {
    world_.DropSilentServers();
    active_ = false;
  });
}

void StoreDrill::RewriteLater(std::function<void()> aRewrite)
{
  std::uniform_int_distribution<Duration::rep> delay(0, kRewriteWithin.count());
  world_.After(Duration(delay(random_)), std::move(aRewrite));
}

} // namespace lacewing
