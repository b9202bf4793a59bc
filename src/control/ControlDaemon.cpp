#include "control/ControlDaemon.h"

#include "control/ControlAdminSource.h"
#include "control/ControlState.h"
#include "control/MeshPlan.h"
#include "control/RepeatingTimer.h"
#include "core/Log.h"
#include "net/AdminPages.h"
#include "net/HttpServer.h"
#include "wire/LeaseStateMessage.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace lacewing {

namespace {

// Phases move on in steps of seconds; see PhaseTable::Advance.
constexpr Duration kPhaseTime = std::chrono::milliseconds(100);
// How long a lease holder that was asked for stays connected.
constexpr Duration kDirectTime = std::chrono::seconds(30);

} // namespace

class ControlDaemon::Impl
{
public:
  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const ControlTerms& aTerms)
    : context_(aContext)
    , clock_(aClock)
    , terms_(aTerms)
    , started_(aClock.Now())
    , random_(std::random_device()())
  {
  }

  Outcome<void> Start(const ControlSettings& aSettings)
  {
    PeerLinksHandlers handlers;
    handlers.hello = [this] { return MakeHello(); };
    handlers.ready = [this](LinkId aLink) { OnReady(aLink); };
    handlers.received = [this](LinkId aLink,
                               const std::string& aKind,
                               const nlohmann::json& aFrame) {
      OnFrame(aLink, aKind, aFrame);
    };
    handlers.closed = [this](LinkId aLink) { OnClosed(aLink); };
    BOOST_OUTCOME_TRY(
      state_,
      ControlState::Make(
        context_,
        clock_,
        aSettings,
        terms_,
        std::move(handlers),
        [this] { OnConfigChanged(); },
        [this](const LeaseStateEntry& aEntry) { OnLeaseChanged(aEntry); }));
    pages_ = std::make_unique<AdminPages>(
      "lacewing-controld",
      std::make_unique<ControlAdminSource>(clock_, *state_));
    HttpServerOptions options;
    options.endpoint = aSettings.admin;
    BOOST_OUTCOME_TRY(
      admin_,
      HttpServer::Make(
        context_,
        options,
        [this](const HttpRequest& aRequest, const auto& aResponder) {
          aResponder->Send(pages_->Answer(aRequest));
        }));
    timers_.push_back(std::make_unique<RepeatingTimer>(
      context_, [this] { return OnHeartbeatTimer(); }));
    timers_.push_back(
      std::make_unique<RepeatingTimer>(context_, [this] { return OnTick(); }));
    timers_.push_back(std::make_unique<RepeatingTimer>(
      context_, [this] { return OnHostListTimer(); }));
    Log(LogLevel::kInfo,
        "started",
        { { "host", aSettings.host.value() },
          { "zone", aSettings.zone.value() },
          { "messages", aSettings.messages.ToString() },
          { "incarnation", std::to_string(state_->incarnation.value()) } });
    return outcome::success();
  }

  void Stop(std::function<void()> aDone)
  {
    if (std::exchange(state_->stopping, true)) {
      return;
    }
    Log(LogLevel::kInfo, "stopping");
    done_ = std::move(aDone);
    stopUntil_ = clock_.Now() + terms_.stopTime;
    state_->members.OnStopping();
    state_->memberExchange.SendNews();
    state_->leases.OnStopping();
  }

  const ControlState& State() const { return *state_; }

private:
  /** A kind of frame, who may send it, and the member that takes it. */
  struct Kind
  {
    const char* name;
    bool fromEntry;
    bool fromControl;
    Outcome<void> (Impl::*take)(LinkId, const nlohmann::json&);
  };

  static const std::array<Kind, 11> kKinds;

  HelloMessage MakeHello() const
  {
    const MemberEntry& self = state_->members.Self().entry;
    HelloMessage hello;
    hello.role = WireRole::kControl;
    hello.deployment = state_->settings.deployment;
    hello.host = self.host;
    hello.zone = self.zone;
    hello.address = self.address;
    hello.incarnation = self.incarnation;
    hello.version = state_->configs.Version();
    return hello;
  }

  void OnReady(LinkId aLink)
  {
    state_->phaseManager.OnReady(aLink);
    const HelloMessage& hello = *state_->links->HelloOf(aLink);
    if (hello.role == WireRole::kEntry) {
      return;
    }
    state_->memberExchange.OnReady(aLink);
    state_->links->Send(aLink,
                        LeaseStateMessage{ state_->leaseDirectory.All() });
    state_->configExchange.OnPeerVersion(aLink, hello.version);
  }

  void OnClosed(LinkId aLink)
  {
    state_->memberExchange.OnClosed(aLink);
    state_->configExchange.OnClosed(aLink);
  }

  void OnFrame(LinkId aLink,
               const std::string& aKind,
               const nlohmann::json& aFrame)
  {
    const bool entry = state_->links->HelloOf(aLink)->role == WireRole::kEntry;
    for (const Kind& kind : kKinds) {
      if (aKind != kind.name || !(entry ? kind.fromEntry : kind.fromControl)) {
        continue;
      }
      state_->links->CountReceived(kind.name);
      const auto taken = (this->*kind.take)(aLink, aFrame);
      if (!taken) {
        state_->links->Refuse(aLink, taken.error());
      }
      return;
    }
    state_->links->CountUnknownKind();
  }

  Outcome<void> OnHello(LinkId, const nlohmann::json&)
  {
    // Only the first one counts.
    return outcome::success();
  }

  Outcome<void> OnHeartbeat(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<HeartbeatMessage>(aFrame));
    state_->memberExchange.OnHeartbeat(aLink, message);
    state_->configExchange.OnPeerVersion(aLink, message.version);
    return outcome::success();
  }

  Outcome<void> OnMembers(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<MembersMessage>(aFrame));
    state_->memberExchange.OnMembers(aLink, message);
    return outcome::success();
  }

  Outcome<void> OnConfigWant(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<ConfigWantMessage>(aFrame));
    state_->configExchange.OnWant(aLink, message);
    return outcome::success();
  }

  Outcome<void> OnConfig(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(auto message, DecodeMessage<ConfigMessage>(aFrame));
    state_->configExchange.OnPart(aLink, std::move(message));
    return outcome::success();
  }

  Outcome<void> OnTargetReport(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<TargetReportMessage>(aFrame));
    state_->phaseManager.OnReport(message);
    if (state_->links->HelloOf(aLink)->role == WireRole::kEntry) {
      state_->grantManager.ForwardReport(message);
    }
    return outcome::success();
  }

  Outcome<void> OnTargetState(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<TargetStateMessage>(aFrame));
    const bool entry = state_->links->HelloOf(aLink)->role == WireRole::kEntry;
    state_->phaseManager.OnState(aLink, message, entry || !fullMesh_);
    return outcome::success();
  }

  Outcome<void> OnLeaseState(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<LeaseStateMessage>(aFrame));
    LeaseStateMessage changed;
    for (const LeaseStateEntry& entry : message.leases) {
      if (state_->leaseDirectory.Merge(entry)) {
        changed.leases.push_back(entry);
      }
    }
    if (!changed.leases.empty()) {
      SendToOthers(aLink, changed);
    }
    return outcome::success();
  }

  Outcome<void> OnGrantWant(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<GrantWantMessage>(aFrame));
    state_->grantManager.OnWant(aLink, message);
    return outcome::success();
  }

  Outcome<void> OnGrant(LinkId, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message, DecodeMessage<GrantMessage>(aFrame));
    state_->grantManager.OnGrant(message);
    return outcome::success();
  }

  Outcome<void> OnGrantReturn(LinkId aLink, const nlohmann::json& aFrame)
  {
    BOOST_OUTCOME_TRY(const auto message,
                      DecodeMessage<GrantReturnMessage>(aFrame));
    state_->grantManager.OnReturn(aLink, message);
    return outcome::success();
  }

  template<class Message>
  void SendToOthers(LinkId aFrom, const Message& aMessage)
  {
    std::vector<LinkId> links = state_->links->Controls();
    links.erase(std::remove(links.begin(), links.end(), aFrom), links.end());
    state_->links->Send(links, aMessage);
  }

  void OnConfigChanged()
  {
    const Configuration& configuration =
      *state_->configs.InForce()->loaded.configuration;
    Log(LogLevel::kInfo,
        "config_in_force",
        { { "version", std::to_string(configuration.version.value()) } });
    state_->index.Set(configuration);
    state_->phaseManager.OnConfig();
    state_->grantManager.OnConfig();
    state_->configExchange.OnChanged();
    // Peers learn of the version at once and ask for it.
    state_->memberExchange.SendHeartbeats(state_->configs.Version());
  }

  void OnLeaseChanged(const LeaseStateEntry& aEntry)
  {
    if (aEntry.holder == state_->settings.host &&
        state_->leases.Holds(aEntry.shard)) {
      state_->grantManager.OnLeaseHeld(aEntry.shard, aEntry.epoch);
    }
    state_->links->Send(state_->links->Controls(),
                        LeaseStateMessage{ { aEntry } });
  }

  Duration OnHeartbeatTimer()
  {
    state_->members.OnTimer();
    ConnectPeers();
    state_->memberExchange.SendHeartbeats(state_->configs.Version());
    state_->memberExchange.SendNews();
    state_->configExchange.OnTimer();
    state_->follower.SetWatching(ShouldWatch());
    RankLeases();
    return terms_.heartbeatPeriod;
  }

  bool ShouldWatch() const
  {
    const auto heard = state_->members.LastHeardPeer();
    return !heard || *heard + terms_.isolatedTime < clock_.Now() ||
           IsAmongFirst(state_->settings.host,
                        state_->members.UsableInZone(state_->settings.zone),
                        terms_.watchersPerZone,
                        "watch");
  }

  void RankLeases()
  {
    // A host that sees no peers yet would take every lease.
    if (state_->stopping || clock_.Now() < started_ + terms_.settleTime) {
      return;
    }
    std::vector<HostId> usable = state_->members.Usable();
    if (usable != ranked_) {
      state_->leases.OnUsableHosts(usable);
      ranked_ = std::move(usable);
    }
  }

  void ConnectPeers()
  {
    std::set<HostId> peers = PlanMesh(state_->members, terms_);
    fullMesh_ = state_->members.Usable().size() <= terms_.fullMeshHosts;
    state_->members.SetExpected(peers);
    const TimePoint now = clock_.Now();
    for (const HostId& host : state_->grantManager.TakeUnreached()) {
      direct_[host] = now + kDirectTime;
    }
    for (auto direct = direct_.begin(); direct != direct_.end();) {
      if (direct->second < now) {
        direct = direct_.erase(direct);
      } else {
        peers.insert(direct->first);
        ++direct;
      }
    }
    if (const auto retry = GoneHostToRetry()) {
      peers.insert(*retry);
    }
    std::map<HostId, Endpoint> endpoints;
    for (const HostId& host : peers) {
      const Member* member = state_->members.Find(host);
      if (member != nullptr && host != state_->settings.host) {
        endpoints[host] = { member->entry.address,
                            state_->settings.messages.port };
      }
    }
    state_->links->Connect(endpoints);
  }

  /**
   * One host that left or is gone though the platform still lists it, another
   * each period. A host that starts while the store is down is found so only.
   */
  std::optional<HostId> GoneHostToRetry()
  {
    std::vector<HostId> gone;
    for (const auto& [host, member] : state_->members.All()) {
      if (member.listed && member.entry.state >= MemberState::kLeaving) {
        gone.push_back(host);
      }
    }
    if (gone.empty()) {
      return std::nullopt;
    }
    const auto period = static_cast<std::size_t>((clock_.Now() - started_) /
                                                 terms_.retryGoneTime);
    return gone[period % gone.size()];
  }

  Duration OnTick()
  {
    state_->leases.OnTimer();
    state_->grantManager.OnTimer();
    if (nextPhases_ <= clock_.Now()) {
      nextPhases_ = clock_.Now() + kPhaseTime;
      state_->phaseManager.OnTimer();
    }
    const bool stopped = state_->stopping && (state_->leases.Released() ||
                                              stopUntil_ <= clock_.Now());
    if (stopped && done_) {
      Log(LogLevel::kInfo,
          "stopped",
          { { "leases_released",
              state_->leases.Released() ? "true" : "false" } });
      std::exchange(done_, nullptr)();
    }
    return terms_.tick;
  }

  Duration OnHostListTimer()
  {
    state_->store.Hosts([this](const Outcome<std::vector<ListedHost>>& aHosts) {
      if (aHosts) {
        state_->members.OnHostList(aHosts.value());
        ConnectPeers();
      }
      listedOnce_ = listedOnce_ || aHosts;
    });
    // The first list names the peers; without it a new host is alone.
    const Duration period = state_->follower.Watching() || !listedOnce_
                              ? terms_.hostListTime
                              : terms_.slowHostListTime;
    std::uniform_int_distribution<std::int64_t> spread(period.count() * 3 / 4,
                                                       period.count() * 5 / 4);
    return Duration(spread(random_));
  }

  asio::io_context& context_;
  const Clock& clock_;
  ControlTerms terms_;
  TimePoint started_;
  std::mt19937_64 random_;
  std::vector<HostId> ranked_;
  std::map<HostId, TimePoint> direct_;
  TimePoint nextPhases_;
  TimePoint stopUntil_;
  bool fullMesh_ = true;
  bool listedOnce_ = false;
  std::function<void()> done_;
  std::unique_ptr<ControlState> state_;
  std::unique_ptr<AdminPages> pages_;
  std::unique_ptr<HttpServer> admin_;
  std::vector<std::unique_ptr<RepeatingTimer>> timers_;
};

const std::array<ControlDaemon::Impl::Kind, 11> ControlDaemon::Impl::kKinds{ {
  { HelloMessage::kKind, true, true, &Impl::OnHello },
  { HeartbeatMessage::kKind, false, true, &Impl::OnHeartbeat },
  { MembersMessage::kKind, false, true, &Impl::OnMembers },
  { ConfigWantMessage::kKind, true, true, &Impl::OnConfigWant },
  { ConfigMessage::kKind, false, true, &Impl::OnConfig },
  { TargetReportMessage::kKind, true, true, &Impl::OnTargetReport },
  { TargetStateMessage::kKind, true, true, &Impl::OnTargetState },
  { LeaseStateMessage::kKind, false, true, &Impl::OnLeaseState },
  { GrantWantMessage::kKind, true, true, &Impl::OnGrantWant },
  { GrantMessage::kKind, false, true, &Impl::OnGrant },
  { GrantReturnMessage::kKind, true, true, &Impl::OnGrantReturn },
} };

Outcome<std::unique_ptr<ControlDaemon>> ControlDaemon::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const ControlSettings& aSettings,
  const ControlTerms& aTerms)
{
  auto impl = std::make_unique<Impl>(aContext, aClock, aTerms);
  BOOST_OUTCOME_TRY(impl->Start(aSettings));
  return std::unique_ptr<ControlDaemon>(new ControlDaemon(std::move(impl)));
}

ControlDaemon::ControlDaemon(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

ControlDaemon::~ControlDaemon() = default;

void ControlDaemon::Stop(std::function<void()> aDone)
{
  impl_->Stop(std::move(aDone));
}

const ControlState& ControlDaemon::State() const
{
  return impl_->State();
}

} // namespace lacewing
