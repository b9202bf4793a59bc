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

struct RouteRow
{
  const char* prefix;
  const char* kind;
  const char* method;
};

constexpr std::array<RouteRow, 3> kRoutes{ {
  { "/read/", "safe", "GET" },
  { "/post/", "unsafe", "POST" },
  { "/load/", "upload", "POST" },
} };

// Callers have these habits in turn.
constexpr std::array<CallerHabit, 4> kHabits{ {
  { false, false, false, false },
  { true, true, false, false },
  { true, true, true, false },
  { false, false, false, true },
} };

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

void SoakWorld::WriteConfiguration()
{
  nlohmann::json routes = nlohmann::json::array();
  for (const RouteRow& row : kRoutes) {
    const bool upload = std::string(row.kind) == "upload";
    const ServiceId service = upload != moved_ ? kSecondService : kFirstService;
    routes.push_back({ { "name", row.prefix },
                       { "host", "soak.example" },
                       { "path_prefix", row.prefix },
                       { "kind", row.kind },
                       { "timeout_s", 3.0 },
                       { "target_latency_s", 1.0 },
                       { "priority", upload ? 2 : 1 },
                       { "max_attempts", terms_.maxAttempts },
                       { "service", service.value() } });
    ledger_.Routes().Add(row.prefix, { service }, clock_.Now());
  }
  nlohmann::json services = nlohmann::json::array();
  for (const ServiceId& service : { kFirstService, kSecondService }) {
    services.push_back({ { "name", service.value() },
                         { "health_path", "/health" },
                         { "warmup_s", Seconds(terms_.warmUp) },
                         { "warmup_per_s", terms_.warmUpRate } });
  }
  store_.Put("config",
             "main",
             { { "version", ++version_ },
               { "routes", routes },
               { "services", services },
               { "limits", { { "idle_timeout_s", Seconds(idleLimit_) } } } });
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
  aServer.born = serverCount_;
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

void SoakWorld::WriteServer(const SoakServer& aServer)
{
  store_.Put("servers",
             aServer.spec.id.value(),
             { { "service", aServer.spec.service.value() },
               { "address", aServer.link->ListenEndpoint().ToString() },
               { "zone", aServer.spec.zone.value() },
               { "slots", aServer.spec.slots },
               { "state", aServer.draining ? "draining" : "ready" },
               { "born", aServer.born } });
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
  const RouteRow& row = kRoutes[random_() % kRoutes.size()];
  const bool upload = std::string(row.kind) == "upload";
  SoakRequest request;
  request.id =
    "soak-" + std::to_string(options_.seed) + "-" + std::to_string(++requests_);
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
