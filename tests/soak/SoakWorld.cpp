#include "soak/SoakWorld.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace lacewing {

namespace {

const ServiceId kFirstService("alpha");
const ServiceId kSecondService("beta");
constexpr std::uint16_t kFrontPort = 8080;
constexpr std::uint16_t kReadyPort = 8081;
constexpr std::uint16_t kInternalPort = 7100;
constexpr Duration kPollEvery = std::chrono::milliseconds(250);
// PickServer() returns null unless more servers of the service than this are
// serving, so that faults which stop servers always leave some.
constexpr std::size_t kMinServing = 2;
constexpr std::size_t kUploadBytes = 20000;
// Each version has a route of its own, and those of the versions before, of
// which requests may still be on their way.
constexpr std::uint64_t kVersionRoutes = 40;
// One request in this many goes to the route of a recent version.
constexpr std::uint64_t kVersionRequestEvery = 8;
constexpr std::uint64_t kRecentVersions = 4;
constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
// A draining server keeps serving for this long, which is longer than the bound
// within which hosts must stop sending to it.
constexpr Duration kServeWhileLeaving = std::chrono::milliseconds(3500);
constexpr const char* kUploadPrefix = "/load/";

struct RouteRow
{
  const char* prefix;
  const char* kind;
  const char* method;
};

constexpr std::array<RouteRow, 3> kRoutes{ {
  { "/read/", "safe", "GET" },
  { "/post/", "unsafe", "POST" },
  { kUploadPrefix, "upload", "POST" },
} };

// Callers have these habits in turn.
constexpr std::array<CallerHabit, 4> kHabits{ {
  { false, false, false, false },
  { true, true, false, false },
  { true, true, true, false },
  { false, false, false, true },
} };

std::string VersionPrefix(std::uint64_t aVersion)
{
  return "/version-" + std::to_string(aVersion) + "/";
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

SoakWorld::SoakWorld(const SoakOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed)
  , ledger_(clock_, terms_, aOptions.plannedOnly)
  , store_(context_, network_.Next())
  , poll_(context_)
{
  WriteConfiguration();
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    for (std::size_t i = 0; i < options_.serversPerZone; ++i) {
      AddServer(kFirstService, ZoneAt(zone), false);
      AddServer(kSecondService, ZoneAt(zone), false);
    }
  }
  for (std::size_t i = 0; i < options_.zones * options_.hostsPerZone; ++i) {
    hosts_.push_back(std::make_unique<SoakHost>(context_,
                                                clock_,
                                                ledger_,
                                                options_.program,
                                                HostSettings(i),
                                                store_.Address(),
                                                network_.Next(),
                                                network_.Next()));
  }
  for (std::size_t i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_unique<SoakCaller>(
      context_,
      clock_,
      ledger_,
      random_,
      kHabits[i % kHabits.size()],
      [this](const CallerHabit& aHabit) { return PickHost(aHabit); },
      [this] { return MakeRequest(); },
      [this] { return idleLimit_; }));
  }
}

ZoneId SoakWorld::ZoneAt(std::size_t aIndex) const
{
  return ZoneId("zone" + std::to_string(aIndex));
}

nlohmann::json SoakWorld::HostSettings(std::size_t aIndex) const
{
  const std::string ip = network_.HostAddress(aIndex);
  const Endpoint seed{ network_.HostAddress(0), kInternalPort };
  return {
    { "node", "host" + std::to_string(aIndex) },
    { "ip", ip },
    { "zone", ZoneAt(aIndex % options_.zones).value() },
    { "listen",
      { { "front", Endpoint{ ip, kFrontPort }.ToString() },
        { "ready", Endpoint{ ip, kReadyPort }.ToString() } } },
    { "internal_ports", { kInternalPort, kInternalPort } },
    { "seeds", nlohmann::json::array({ seed.ToString() }) },
    { "bounds",
      { { "grace_s", Seconds(terms_.grace) },
        { "retry_budget_ratio", terms_.retryRatio },
        { "budget_window_s", Seconds(terms_.retryWindow) },
        { "budget_slack", terms_.retrySlack },
        { "warmup_overshoot", terms_.coldOvershoot },
        { "warmup_slack", terms_.coldSlack } } },
  };
}

ServiceId SoakWorld::ServiceOf(const char* aPrefix) const
{
  const bool upload = std::string(aPrefix) == kUploadPrefix;
  return upload != moved_ ? kSecondService : kFirstService;
}

nlohmann::json SoakWorld::Configuration() const
{
  nlohmann::json routes = nlohmann::json::array();
  const auto add = [&](const std::string& aPrefix,
                       const char* aKind,
                       const ServiceId& aService) {
    routes.push_back({ { "name", aPrefix },
                       { "host", "soak.example" },
                       { "path_prefix", aPrefix },
                       { "kind", aKind },
                       { "timeout_s", 3.0 },
                       { "target_latency_s", 1.0 },
                       { "priority", std::string(aKind) == "upload" ? 2 : 1 },
                       { "max_attempts", terms_.maxAttempts },
                       { "service", aService.value() } });
  };
  for (const RouteRow& row : kRoutes) {
    add(row.prefix, row.kind, ServiceOf(row.prefix));
  }
  const std::uint64_t oldest = version_ - std::min(version_, kVersionRoutes);
  for (std::uint64_t version = version_; version > oldest; --version) {
    add(VersionPrefix(version), "safe", kFirstService);
  }
  nlohmann::json services = nlohmann::json::array();
  for (const ServiceId& service : { kFirstService, kSecondService }) {
    services.push_back({ { "name", service.value() },
                         { "health_path", "/health" },
                         { "warmup_s", Seconds(terms_.warmUp) },
                         { "warmup_per_s", terms_.warmUpRate } });
  }
  return { { "version", version_ },
           { "routes", routes },
           { "services", services },
           { "limits", { { "idle_timeout_s", Seconds(idleLimit_) } } } };
}

void SoakWorld::WriteConfiguration()
{
  ++version_;
  const ConfigVersion version(version_);
  for (const RouteRow& row : kRoutes) {
    ledger_.Routes().Add(
      version, row.prefix, ServiceOf(row.prefix), clock_.Now());
  }
  ledger_.Routes().Add(
    version, VersionPrefix(version_), kFirstService, clock_.Now());
  store_.Put("config", "main", Configuration());
}

void SoakWorld::RewriteConfiguration()
{
  const nlohmann::json configuration = Configuration();
  if (store_.SpecOf("config", "main") != configuration) {
    store_.Put("config", "main", configuration);
  }
}

void SoakWorld::SetZoneOut(const ZoneId& aZone, bool aOut)
{
  if (aOut) {
    zonesOut_.insert(aZone);
    ledger_.OnZoneOut(aZone);
  } else {
    zonesOut_.erase(aZone);
    ledger_.OnZoneBack(aZone);
  }
  RewriteZonesOut();
}

void SoakWorld::RewriteZonesOut()
{
  for (std::size_t i = 0; i < options_.zones; ++i) {
    const std::string zone = ZoneAt(i).value();
    const bool out = ZoneOut(ZoneAt(i));
    if (out && !store_.Has("evacuations", zone)) {
      store_.Put("evacuations", zone, nlohmann::json::object());
    } else if (!out) {
      store_.Remove("evacuations", zone);
    }
  }
}

void SoakWorld::OnStoreAway(TimePoint aSettled)
{
  storeAway_ = true;
  // Their reports may be lost, so that the store accepts them only later.
  for (SoakServer& server : servers_) {
    if (ledger_.LeavingNow(server.spec.id)) {
      server.exitsAt = aSettled + kServeWhileLeaving;
    }
  }
  ledger_.OnStoreAway(aSettled);
}

void SoakWorld::MoveRoute()
{
  moved_ = !moved_;
  WriteConfiguration();
}

void SoakWorld::SetIdleLimit(Duration aLimit)
{
  idleLimit_ = aLimit;
  WriteConfiguration();
}

SoakServer& SoakWorld::AddServer(const ServiceId& aService,
                                 const ZoneId& aZone,
                                 bool aCold)
{
  SoakServer server;
  server.spec.service = aService;
  server.spec.zone = aZone;
  server.spec.listen = network_.Next();
  server.spec.coldTime = aCold ? terms_.warmUp : Duration(0);
  // Some services of the platform report no load.
  server.spec.reportsLoad = aService == kFirstService;
  server.link = std::move(
    ProxyPair::Make(context_, clock_, network_.Next(), server.spec.listen)
      .value());
  servers_.push_back(std::move(server));
  StartProcess(servers_.back());
  return servers_.back();
}

/** Starts a new incarnation of the server, with a new id. */
void SoakWorld::StartProcess(SoakServer& aServer)
{
  aServer.spec.id = TargetId("server" + std::to_string(++serverCount_));
  aServer.born = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  aServer.startedAt = clock_.Now();
  aServer.changes = 0;
  aServer.draining = false;
  aServer.process = std::make_unique<ServerStandin>(
    context_,
    clock_,
    aServer.spec,
    [this](const ServerSpec& aSpec, const HttpMessage& aRequest) {
      ledger_.OnRun(aSpec, aRequest);
    },
    [this](const ServerSpec& aSpec, const HttpMessage& aRequest, bool aCold) {
      ledger_.OnArrival(aSpec, aRequest, aCold);
    });
  WriteServer(aServer);
}

void SoakWorld::WriteServer(SoakServer& aServer)
{
  ++aServer.changes;
  store_.Put("servers", aServer.spec.id.value(), EntryOf(aServer));
}

nlohmann::json SoakWorld::EntryOf(const SoakServer& aServer) const
{
  const auto heartbeats =
    static_cast<std::uint64_t>((clock_.Now() - aServer.startedAt) / kHeartbeat);
  return { { "service", aServer.spec.service.value() },
           { "address", aServer.link->ListenEndpoint().ToString() },
           { "zone", aServer.spec.zone.value() },
           { "slots", aServer.spec.slots },
           { "state", aServer.draining ? "draining" : "ready" },
           { "born", aServer.born },
           { "sequence", aServer.changes + heartbeats } };
}

/** A write that changes no more than the sequence leaves the entry as it is. */
void SoakWorld::RewriteServer(const TargetId& aServer)
{
  SoakServer* server = FindServer(aServer);
  if (server == nullptr || !server->process) {
    return;
  }
  nlohmann::json stored = store_.SpecOf("servers", aServer.value());
  nlohmann::json entry = EntryOf(*server);
  if (stored.is_object()) {
    stored["sequence"] = entry["sequence"];
  }
  if (stored != entry) {
    WriteServer(*server);
  }
}

void SoakWorld::DropSilentServers()
{
  for (const std::string& name : store_.NamesOf("servers")) {
    if (FindServer(TargetId(name)) == nullptr) {
      store_.Remove("servers", name);
    }
  }
}

void SoakWorld::RetireServer(SoakServer& aServer)
{
  aServer.draining = true;
  aServer.exitsAt = clock_.Now() + kServeWhileLeaving;
  WriteServer(aServer);
  ledger_.OnServerLeaving(aServer.spec.id);
  ExitLater(aServer.spec.id, kServeWhileLeaving);
}

void SoakWorld::ExitLater(const TargetId& aServer, Duration aDelay)
{
  After(aDelay, [this, aServer] {
    const SoakServer* server = FindServer(aServer);
    if (server != nullptr && server->exitsAt > clock_.Now()) {
      ExitLater(aServer, server->exitsAt - clock_.Now());
    } else {
      RemoveServer(aServer);
    }
  });
}

void SoakWorld::RemoveServer(const TargetId& aServer)
{
  store_.Remove("servers", aServer.value());
  servers_.remove_if(
    [&aServer](const SoakServer& aEach) { return aEach.spec.id == aServer; });
}

void SoakWorld::ReviveServer(SoakServer& aServer, const ServiceId& aService)
{
  store_.Remove("servers", aServer.spec.id.value());
  aServer.spec.service = aService;
  aServer.spec.coldTime = terms_.warmUp;
  StartProcess(aServer);
}

SoakServer* SoakWorld::FindServer(const TargetId& aServer)
{
  const auto found = std::find_if(
    servers_.begin(), servers_.end(), [&aServer](const SoakServer& aEach) {
      return aEach.spec.id == aServer;
    });
  return found == servers_.end() ? nullptr : &*found;
}

ProxyPair* SoakWorld::FindLink(const Endpoint& aListen)
{
  for (SoakServer& server : servers_) {
    if (server.link->ListenEndpoint() == aListen) {
      return server.link.get();
    }
  }
  for (const auto& host : hosts_) {
    for (ProxyPair* link : { &host->StoreLink(), &host->FrontLink() }) {
      if (link->ListenEndpoint() == aListen) {
        return link;
      }
    }
  }
  return nullptr;
}

SoakServer* SoakWorld::PickServer(std::mt19937_64& aRandom)
{
  std::map<ServiceId, std::vector<SoakServer*>> serving;
  for (SoakServer& server : servers_) {
    if (server.process && !server.draining) {
      serving[server.spec.service].push_back(&server);
    }
  }
  const ServiceId service = aRandom() % 2 == 0 ? kFirstService : kSecondService;
  const auto& candidates = serving[service];
  return candidates.size() <= kMinServing
           ? nullptr
           : candidates[aRandom() % candidates.size()];
}

void SoakWorld::After(Duration aDelay, std::function<void()> aDo)
{
  timers_.emplace_back(context_, aDelay);
  const auto timer = std::prev(timers_.end());
  timer->async_wait(
    [this, timer, act = std::move(aDo)](const asio::error_code& aError) {
      if (!aError) {
        act();
        timers_.erase(timer);
      }
    });
}

void SoakWorld::Start()
{
  for (const auto& host : hosts_) {
    host->Start();
  }
  Poll();
  RunUntilReady(terms_.recovery);
  for (const auto& caller : callers_) {
    caller->Start();
  }
}

void SoakWorld::Poll()
{
  for (const auto& host : hosts_) {
    host->Poll(terms_.grace);
  }
  const TimePoint due = clock_.Now() + kPollEvery;
  poll_.expires_after(kPollEvery);
  poll_.async_wait([this, due](const asio::error_code& aError) {
    if (!aError) {
      longestDelay_ = std::max(longestDelay_, clock_.Now() - due);
      Poll();
    }
  });
}

void SoakWorld::RunUntil(TimePoint aEnd)
{
  context_.run_until(
    std::chrono::time_point_cast<std::chrono::steady_clock::duration>(aEnd));
}

bool SoakWorld::RunUntilReady(Duration aLimit)
{
  const TimePoint end = clock_.Now() + aLimit;
  const auto ready = [this] {
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto& aHost) {
      return aHost->InRotation() && aHost->Running();
    });
  };
  while (!ready() && clock_.Now() < end) {
    RunUntil(clock_.Now() + kPollEvery);
  }
  return ready();
}

/** Picks a host that aHabit connects to at random; null if there is none. */
SoakHost* SoakWorld::PickHost(const CallerHabit& aHabit)
{
  std::vector<SoakHost*> hosts;
  for (const auto& host : hosts_) {
    if (aHabit.ignoresRotation ? host->Alive() : host->InRotation()) {
      hosts.push_back(host.get());
    }
  }
  return hosts.empty() ? nullptr : hosts[random_() % hosts.size()];
}

SoakRequest SoakWorld::MakeRequest()
{
  SoakRequest request;
  request.id =
    "soak-" + std::to_string(options_.seed) + "-" + std::to_string(++requests_);
  if (random_() % kVersionRequestEvery == 0) {
    request.version =
      ConfigVersion(version_ - random_() % std::min(version_, kRecentVersions));
    request.prefix = VersionPrefix(request.version.value());
    request.method = "GET";
    request.target = request.prefix + request.id;
    return request;
  }
  const RouteRow& row = kRoutes[random_() % kRoutes.size()];
  const bool upload = std::string(row.kind) == "upload";
  request.prefix = row.prefix;
  request.method = row.method;
  request.target = std::string(row.prefix) + request.id;
  request.atMostOnce = std::string(row.kind) != "safe";
  if (request.atMostOnce) {
    request.body = upload ? std::string(kUploadBytes, 'u') + request.id
                          : "deposit " + request.id;
  }
  return request;
}

} // namespace lacewing
