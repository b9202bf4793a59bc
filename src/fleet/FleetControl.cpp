#include "fleet/FleetControl.h"

#include "core/Log.h"
#include "fleet/CatalogPuller.h"
#include "fleet/CatalogView.h"
#include "fleet/HostDirectory.h"
#include "fleet/Membership.h"
#include "fleet/PeerExchange.h"
#include "fleet/TargetDuties.h"
#include "fleet/WatchElection.h"
#include "metrics/MetricsPage.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// The control thread's step.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Owned targets are probed on each second step: readings only say where to
// look, since each choice asks the targets themselves.
constexpr unsigned kProbeTicks = 2;
// Where no seed answered by then, hosts are looked for in the store.
constexpr Duration kSeedPatience = std::chrono::milliseconds(1200);
// A starting host that heard of no configuration by then, in the time of a few
// answers of a seed, reads the store once: after a power cut callers are
// waiting.
constexpr Duration kReadPatience = std::chrono::milliseconds(40);

} // namespace

struct FleetControl::Impl : std::enable_shared_from_this<Impl>
{
  const Clock& clock;
  const HostIdentity identity;
  CatalogSource& source;
  asio::steady_timer tick;
  asio::steady_timer firstRead;
  CatalogReplica replica;
  CatalogView view;
  CatalogPuller puller;
  TargetDuties duties;
  HostDirectory directory;
  std::unique_ptr<PeerExchange> peers;
  WatchElection election;
  const TimePoint startedAt;
  TimePoint confirmedAt;
  Membership membership;
  /** Beats told of hosts that came or left. */
  bool membershipDue = false;
  unsigned ticks = 0;
  bool leaving = false;
  bool searched = false;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostIdentity& aIdentity,
       const FleetTerms& aTerms,
       const CatalogDecoder& aDecoder,
       CatalogSource& aSource,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad)
    : clock(aClock)
    , identity(aIdentity)
    , source(aSource)
    , tick(aContext)
    , firstRead(aContext)
    , view(aDecoder)
    , puller(aContext,
             aClock,
             [this](const CatalogPull& aPull) { OnPulled(aPull); })
    , duties(aContext,
             aClock,
             aIdentity.self,
             aTerms,
             aFleet,
             aLoad,
             [this] { peers->BeatZone(duties.OwnReadings()); })
    , directory(aContext,
                aIdentity,
                aSource,
                [this](const std::vector<PeerAddress>& aHosts) {
                  peers->Learn(aHosts);
                })
    , election(aClock, { aIdentity.self.host, aIdentity.self.zone })
    , startedAt(aClock.Now())
    , confirmedAt(aClock.Now())
  {
  }

  Outcome<void> Start(asio::io_context& aContext)
  {
    BOOST_OUTCOME_TRY(
      peers, PeerExchange::Make(aContext, clock, identity, PeerEvents()));
    CatalogSource::Events events;
    events.onChanges = [this](CatalogKind aKind,
                              const CatalogChanges& aChanges) {
      OnStoreChanges(aKind, aChanges);
    };
    events.onReachable = [this](bool aReachable) { OnReachable(aReachable); };
    source.SetEvents(std::move(events));
    peers->Tick({});
    ScheduleTick();
    ScheduleFirstRead();
    return outcome::success();
  }

  PeerExchange::Events PeerEvents()
  {
    PeerExchange::Events events;
    events.state = [this] {
      return PeerState{ leaving, election.StoreOk(), Revisions(), confirmedAt };
    };
    events.onMembership = [this] { membershipDue = true; };
    events.onReading = [this](const LoadReading& aReading) {
      duties.OnReading(aReading);
    };
    events.onCatalog = [this](const PeerBeat& aBeat) { OnPeerCatalog(aBeat); };
    return events;
  }

  std::vector<Revision> Revisions() const
  {
    std::vector<Revision> revisions;
    for (const CatalogKind kind : kCatalogKinds) {
      revisions.push_back(replica.RevisionOf(kind));
    }
    return revisions;
  }

  /** Whether some of aRevisions are above this host's. */
  bool IsAhead(const std::vector<Revision>& aRevisions) const
  {
    return std::any_of(
      kCatalogKinds.begin(), kCatalogKinds.end(), [&](CatalogKind aKind) {
        return IndexOf(aKind) < aRevisions.size() &&
               aRevisions[IndexOf(aKind)] > replica.RevisionOf(aKind);
      });
  }

  void OnPeerCatalog(const PeerBeat& aBeat)
  {
    if (!IsAhead(aBeat.revisions)) {
      if (aBeat.revisions == Revisions()) {
        confirmedAt = std::max(confirmedAt, clock.Now() - aBeat.confirmedAge);
      }
      return;
    }
    // A zone's speakers pull from other zones and the rest from them, because
    // bytes between zones are priced.
    if (aBeat.from.zone == identity.self.zone || peers->Speaking()) {
      puller.Pull(aBeat.from.ToEndpoint(), Revisions());
    }
  }

  /** Pulls what beats told of and a pull did not bring. */
  void CatchUp()
  {
    for (const Peer* peer : peers->Alive()) {
      if (IsAhead(peer->revisions)) {
        puller.Pull(peer->address.ToEndpoint(), Revisions());
        return;
      }
    }
  }

  void OnPulled(const CatalogPull& aPull)
  {
    const std::vector<Revision> before = Revisions();
    bool changed = false;
    for (const CatalogKind kind : kCatalogKinds) {
      changed |= replica.Apply(kind, aPull.parts[IndexOf(kind)]);
    }
    OnCatalog(changed);
    source.NoteRevisions(Revisions());
    if (Revisions() != before && peers->Speaking()) {
      peers->BeatZone(duties.OwnReadings());
    }
  }

  void OnStoreChanges(CatalogKind aKind, const CatalogChanges& aChanges)
  {
    confirmedAt = clock.Now();
    const std::vector<Revision> before = Revisions();
    const bool changed = replica.Apply(aKind, aChanges);
    OnCatalog(changed);
    if (Revisions() != before) {
      peers->BeatZone(duties.OwnReadings());
    }
    if (changed) {
      peers->BeatFar();
    }
  }

  void OnCatalog(bool aChanged)
  {
    if (aChanged) {
      view.Update(replica);
      duties.Rebuild(view, *peers);
    }
  }

  void OnReachable(bool aReachable)
  {
    election.OnReachable(aReachable);
    peers->BeatZone(duties.OwnReadings());
    peers->BeatFar();
    Elect();
  }

  /** Decides whether this host watches the store. */
  void Elect()
  {
    if (election.Update(*peers, leaving)) {
      if (election.Role() != WatchRole::kNone) {
        directory.Enter();
      }
      source.Follow(election.Role(), Revisions());
    }
  }

  void OnMembership()
  {
    if (membership.Update(*peers)) {
      duties.Rebuild(view, *peers);
    }
    Elect();
  }

  /** Reads the store when no peer has brought a configuration by then. */
  void ScheduleFirstRead()
  {
    firstRead.expires_after(kReadPatience);
    firstRead.async_wait([self =
                            weak_from_this()](const asio::error_code& aError) {
      const auto impl = self.lock();
      if (!aError && impl &&
          impl->replica.RevisionOf(CatalogKind::kConfiguration) == Revision()) {
        impl->source.ReadOnce();
      }
    });
  }

  void ScheduleTick()
  {
    tick.expires_after(kTick);
    tick.async_wait([self = weak_from_this()](const asio::error_code& aError) {
      const auto impl = self.lock();
      if (!aError && impl) {
        impl->OnTick();
        impl->ScheduleTick();
      }
    });
  }

  void OnTick()
  {
    const bool probes = ++ticks % kProbeTicks == 0;
    // Hosts that come or go together are taken over together: each time all
    // targets are given owners anew.
    if (std::exchange(membershipDue, false) || !probes) {
      OnMembership();
    }
    if (probes) {
      duties.ProbeAll();
      return;
    }
    if (!searched && !peers->HasHeard() &&
        clock.Now() > startedAt + kSeedPatience) {
      searched = true;
      directory.Find();
    }
    CatchUp();
    duties.PublishReadings();
    peers->Tick(duties.OwnReadings());
  }
};

FleetControl::FleetControl(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

FleetControl::~FleetControl() = default;

Outcome<std::unique_ptr<FleetControl>> FleetControl::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const HostIdentity& aIdentity,
  const FleetTerms& aTerms,
  const CatalogDecoder& aDecoder,
  CatalogSource& aSource,
  SnapshotCell<FleetSnapshot>& aFleet,
  SnapshotCell<LoadSnapshot>& aLoad)
{
  auto impl = std::make_shared<Impl>(
    aContext, aClock, aIdentity, aTerms, aDecoder, aSource, aFleet, aLoad);
  BOOST_OUTCOME_TRYV(impl->Start(aContext));
  return std::unique_ptr<FleetControl>(new FleetControl(std::move(impl)));
}

bool FleetControl::Ready() const
{
  return !impl_->leaving && impl_->duties.Ready();
}

void FleetControl::BeginLeave()
{
  impl_->leaving = true;
  impl_->OnMembership();
  impl_->peers->BeatZone(impl_->duties.OwnReadings());
}

void FleetControl::SetColdTerms(const ColdStartLimits& aTerms)
{
  impl_->duties.SetColdTerms(aTerms);
  impl_->duties.Rebuild(impl_->view, *impl_->peers);
}

HttpMessage FleetControl::AnswerPull(const HttpMessage& aRequest)
{
  return impl_->puller.Answer(aRequest, impl_->replica);
}

std::string FleetControl::MetricsText() const
{
  const PeerExchange& peers = *impl_->peers;
  MetricsPage page;
  page.AddGauge("lacewing_hosts",
                "Hosts that are alive, this one included.",
                {},
                peers.HostCount());
  page.AddGauge("lacewing_hosts_silent",
                "Hosts that may run behind a cut.",
                {},
                peers.SilentHosts());
  page.AddGauge("lacewing_store_watched",
                "1 while this host watches the store.",
                {},
                impl_->election.Role() == WatchRole::kNone ? 0 : 1);
  page.AddGauge(
    "lacewing_catalog_age_seconds",
    "Since the store last confirmed the catalog.",
    {},
    std::chrono::duration<double>(impl_->clock.Now() - impl_->confirmedAt)
      .count());
  page.AddCounter(
    "lacewing_beats_sent_total", "Datagrams to peers.", {}, peers.Sent());
  page.AddCounter("lacewing_beats_received_total",
                  "Datagrams from peers.",
                  {},
                  peers.Received());
  page.AddCounter("lacewing_beats_refused_total",
                  "Datagrams that could not be read.",
                  {},
                  peers.Refused());
  page.AddCounter("lacewing_probes_total",
                  "Probes of owned targets.",
                  {},
                  impl_->duties.ProbeCount());
  return page.ToString();
}

} // namespace lacewing
