#include "soak/FaultDriver.h"

#include "soak/OddEntries.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

namespace lacewing {

namespace {

// Pause between two injections; many faults last longer and so overlap.
constexpr int kLeastPauseMs = 100;
constexpr int kMostPauseMs = 700;
constexpr int kLeastIdleLimitMs = 400;
constexpr int kMostIdleLimitMs = 1600;
constexpr int kLeastStutterMs = 50;
constexpr int kMostStutterMs = 400;
constexpr int kMostSeriesSteps = 8;
constexpr int kOddEntries = 4;
constexpr Duration kLinkDelay = std::chrono::milliseconds(120);

using ServerFaultSetter = void (*)(ServerFaults&);

constexpr std::array<ServerFaultSetter, 7> kServerFaultSetters{ {
  [](ServerFaults& aFaults) { aFaults.slowFactor = 8; },
  [](ServerFaults& aFaults) { aFaults.shedAll = true; },
  [](ServerFaults& aFaults) { aFaults.failAll = true; },
  [](ServerFaults& aFaults) { aFaults.neverRespond = true; },
  [](ServerFaults& aFaults) { aFaults.loseResponses = true; },
  [](ServerFaults& aFaults) { aFaults.truncateResponses = true; },
  [](ServerFaults& aFaults) { aFaults.duplicateResponses = true; },
} };

} // namespace

const std::vector<SoakFault> FaultDriver::kFaults = {
  { "roll-host", true, &FaultDriver::RollHost, 4000, 4000 },
  { "reload", true, &FaultDriver::ReloadHosts, 1, 1 },
  { "move-route", true, &FaultDriver::MoveRoute, 1, 1 },
  { "drain-server", true, &FaultDriver::DrainServer, 4000, 4000 },
  { "join-server", true, &FaultDriver::JoinServer, 1, 1 },
  { "zone-out", true, &FaultDriver::TakeZoneOut, 3000, 8000 },
  { "change-idle-limit", true, &FaultDriver::ChangeIdleLimit, 1, 1 },
  { "stutter-host", true, &FaultDriver::StutterHost, 50, 400 },
  { "store-restored", true, &FaultDriver::RestoreStore, 300, 4000 },
  { "odd-entries", true, &FaultDriver::WriteOddEntries, 200, 4000 },
  { "series", true, &FaultDriver::RunSeries, 300, 2000 },
  { "kill-host", false, &FaultDriver::KillHost, 50, 2000 },
  { "kill-all-hosts", false, &FaultDriver::KillAllHosts, 50, 1000 },
  { "pause-host", false, &FaultDriver::PauseHost, 200, 4000 },
  { "pause-half", false, &FaultDriver::PauseHalf, 200, 3000 },
  { "store-busy", false, &FaultDriver::StoreBusy, 500, 5000 },
  { "store-silent", false, &FaultDriver::StoreSilent, 500, 5000 },
  { "store-forgets", false, &FaultDriver::ForgetHistory, 1, 1 },
  { "silence-store-link", false, &FaultDriver::SilenceStoreLink, 500, 5000 },
  { "cut-store-link", false, &FaultDriver::CutStoreLink, 500, 4000 },
  { "cut-front-link", false, &FaultDriver::CutFrontLink, 1, 1 },
  { "delay-front-link", false, &FaultDriver::DelayFrontLink, 500, 3000 },
  { "crash-server", false, &FaultDriver::CrashServer, 300, 3000 },
  { "reuse-address", false, &FaultDriver::ReuseAddress, 500, 2000 },
  { "cut-server-link", false, &FaultDriver::CutServerLink, 300, 3000 },
  { "silence-answers", false, &FaultDriver::SilenceAnswers, 500, 3000 },
  { "delay-server-link", false, &FaultDriver::DelayServerLink, 500, 3000 },
  { "spoil-server", false, &FaultDriver::SpoilServer, 500, 4000 },
};

const std::vector<void (FaultDriver::*)(Duration)> FaultDriver::kSeriesSteps = {
  &FaultDriver::RollHost,        &FaultDriver::ReloadHosts,
  &FaultDriver::MoveRoute,       &FaultDriver::ChangeIdleLimit,
  &FaultDriver::ChangeIdleLimit, &FaultDriver::StutterHost,
  &FaultDriver::StutterHost,
};

FaultDriver::FaultDriver(SoakWorld& aWorld, const SoakOptions& aOptions)
  : world_(aWorld)
  , random_(aOptions.seed)
  , drill_(aWorld, random_, [this] { WriteLaterChange(); })
{
  std::copy_if(kFaults.begin(),
               kFaults.end(),
               std::back_inserter(faults_),
               [&aOptions](const SoakFault& aFault) {
                 return aFault.planned || !aOptions.plannedOnly;
               });
}

void FaultDriver::Start(TimePoint aEnd)
{
  end_ = aEnd;
  start_ = world_.Time().Now();
  lastEnd_ = start_;
  InjectFault();
}

void FaultDriver::InjectFault()
{
  const TimePoint now = world_.Time().Now();
  if (now >= end_) {
    return;
  }
  const SoakFault& fault = faults_[random_() % faults_.size()];
  std::uniform_int_distribution<int> length(fault.minMs, fault.maxMs);
  const Duration lasts = std::chrono::milliseconds(length(random_));
  std::cout
    << "event=fault at_ms="
    << std::chrono::duration_cast<std::chrono::milliseconds>(now - start_)
         .count()
    << " kind=" << fault.name << " for_ms="
    << std::chrono::duration_cast<std::chrono::milliseconds>(lasts).count()
    << '\n';
  (this->*fault.inject)(lasts);
  lastEnd_ = std::max(lastEnd_, now + lasts);
  std::uniform_int_distribution<int> pause(kLeastPauseMs, kMostPauseMs);
  world_.After(std::chrono::milliseconds(pause(random_)),
               [this] { InjectFault(); });
}

SoakHost& FaultDriver::PickHost()
{
  auto& hosts = world_.Hosts();
  return *hosts[random_() % hosts.size()];
}

void FaultDriver::RollHost(Duration)
{
  const auto& hosts = world_.Hosts();
  const auto running =
    std::count_if(hosts.begin(), hosts.end(), [](const auto& aHost) {
      return aHost->Running() && aHost->InRotation();
    });
  // Planned changes leave more than half of the hosts in service.
  if (static_cast<std::size_t>(running) > hosts.size() / 2 + 1) {
    PickHost().Terminate(world_.Terms().grace);
  }
}

void FaultDriver::ReloadHosts(Duration)
{
  for (const auto& host : world_.Hosts()) {
    host->Reload();
  }
}

void FaultDriver::MoveRoute(Duration)
{
  if (!world_.StoreAway()) {
    world_.MoveRoute();
  }
}

void FaultDriver::DrainServer(Duration)
{
  SoakServer* server = world_.PickServer(random_);
  if (server == nullptr || world_.StoreAway()) {
    return;
  }
  world_.RetireServer(*server);
  world_.AddServer(server->spec.service, server->spec.zone, true);
}

void FaultDriver::JoinServer(Duration)
{
  const SoakServer* server = world_.PickServer(random_);
  if (server != nullptr && !world_.StoreAway()) {
    const ServerSpec spec = server->spec;
    world_.AddServer(spec.service, spec.zone, true);
  }
}

void FaultDriver::TakeZoneOut(Duration aLength)
{
  const ZoneId zone = world_.ZoneAt(0);
  if (world_.ZoneOut(zone) || world_.StoreAway()) {
    return;
  }
  world_.SetZoneOut(zone, true);
  world_.After(aLength, [this, zone] { world_.SetZoneOut(zone, false); });
}

void FaultDriver::ChangeIdleLimit(Duration)
{
  std::uniform_int_distribution<int> limit(kLeastIdleLimitMs, kMostIdleLimitMs);
  const Duration idle = std::chrono::milliseconds(limit(random_));
  if (!world_.StoreAway()) {
    world_.SetIdleLimit(idle);
  }
}

/** A pause as a busy machine causes it; too short to cost a request. */
void FaultDriver::StutterHost(Duration aLength)
{
  SoakHost& host = PickHost();
  if (!host.Paused()) {
    host.Pause();
    world_.After(aLength, [&host] { host.Resume(); });
  }
}

void FaultDriver::RestoreStore(Duration aAge)
{
  lastEnd_ = std::max(lastEnd_, drill_.Start(aAge));
}

void FaultDriver::WriteLaterChange()
{
  static constexpr std::array<void (FaultDriver::*)(Duration), 4> kChanges{
    { &FaultDriver::MoveRoute,
      &FaultDriver::ChangeIdleLimit,
      &FaultDriver::DrainServer,
      nullptr }
  };
  if (const auto change = kChanges[random_() % kChanges.size()]) {
    (this->*change)(Duration(0));
  }
}

void FaultDriver::WriteOddEntries(Duration aLength)
{
  for (int i = 0; i < kOddEntries; ++i) {
    const std::string name = "odd" + std::to_string(++oddEntries_);
    world_.Store().PutText("servers", name, MakeOddEntry(random_));
    world_.After(aLength,
                 [this, name] { world_.Store().Remove("servers", name); });
  }
}

void FaultDriver::RunSeries(Duration aLength)
{
  std::uniform_int_distribution<int> count(2, kMostSeriesSteps);
  std::uniform_int_distribution<int> stutter(kLeastStutterMs, kMostStutterMs);
  const int steps = count(random_);
  for (int i = 0; i < steps; ++i) {
    const auto step = kSeriesSteps[random_() % kSeriesSteps.size()];
    const Duration lasts = std::chrono::milliseconds(stutter(random_));
    world_.After(aLength * i / steps,
                 [this, step, lasts] { (this->*step)(lasts); });
  }
}

void FaultDriver::KillHost(Duration aLength)
{
  Kill(PickHost(), aLength);
}

void FaultDriver::Kill(SoakHost& aHost, Duration aDown)
{
  RecordDisturbance(aHost, aDown);
  aHost.Kill(aDown);
}

void FaultDriver::Pause(SoakHost& aHost, Duration aLength)
{
  RecordDisturbance(aHost, aLength);
  aHost.Pause();
  world_.After(aLength, [&aHost] { aHost.Resume(); });
}

void FaultDriver::RecordDisturbance(const SoakHost& aHost, Duration aLength)
{
  world_.Ledger().Disturbances().Add(aHost.Name(),
                                     world_.Time().Now() + aLength);
}

void FaultDriver::KillAllHosts(Duration aLength)
{
  for (const auto& host : world_.Hosts()) {
    Kill(*host, aLength);
  }
}

void FaultDriver::PauseHost(Duration aLength)
{
  Pause(PickHost(), aLength);
}

void FaultDriver::PauseHalf(Duration aLength)
{
  for (const auto& host : world_.Hosts()) {
    if (random_() % 2 == 0) {
      Pause(*host, aLength);
    }
  }
}

void FaultDriver::SetStoreFault(StoreFault aFault, Duration aLength)
{
  world_.Store().SetFault(aFault);
  world_.After(aLength, [this] { world_.Store().SetFault(StoreFault::kNone); });
}

void FaultDriver::StoreBusy(Duration aLength)
{
  SetStoreFault(StoreFault::kBusy, aLength);
}

void FaultDriver::StoreSilent(Duration aLength)
{
  SetStoreFault(StoreFault::kUnresponsive, aLength);
}

void FaultDriver::ForgetHistory(Duration)
{
  world_.Store().ForgetHistory();
}

void FaultDriver::SetLink(ProxyPair& aLink,
                          LinkState ProxyPair::*aDirection,
                          const LinkFaults& aFaults,
                          Duration aLength)
{
  aLink.SetFaults(aDirection, aFaults);
  // The server that owns the link may have been removed by then.
  const Endpoint listen = aLink.ListenEndpoint();
  world_.After(aLength, [this, listen, aDirection] {
    if (ProxyPair* link = world_.FindLink(listen)) {
      link->SetFaults(aDirection, LinkFaults());
    }
  });
}

void FaultDriver::SilenceStoreLink(Duration aLength)
{
  LinkFaults silent;
  silent.stall = true;
  SetLink(PickHost().StoreLink(),
          random_() % 2 == 0 ? &ProxyPair::up : &ProxyPair::down,
          silent,
          aLength);
}

void FaultDriver::CutStoreLink(Duration aLength)
{
  SoakHost& host = PickHost();
  host.StoreLink().Cut();
  if (host.StoreLink().SetRefusing(true)) {
    world_.After(aLength, [this, &host] {
      if (!host.StoreLink().SetRefusing(false)) {
        world_.Ledger().AddViolation("soak",
                                     "a store link failed to listen again");
      }
    });
  }
}

void FaultDriver::CutFrontLink(Duration)
{
  SoakHost& host = PickHost();
  RecordDisturbance(host, Duration(0));
  host.FrontLink().Cut();
}

void FaultDriver::DelayFrontLink(Duration aLength)
{
  LinkFaults slow;
  slow.latency = kLinkDelay;
  SetLink(PickHost().FrontLink(), &ProxyPair::up, slow, aLength);
}

void FaultDriver::CrashServer(Duration aLength)
{
  if (SoakServer* server = world_.PickServer(random_)) {
    server->process.reset();
    world_.After(aLength, [this, id = server->spec.id] {
      if (SoakServer* down = world_.FindServer(id)) {
        world_.ReviveServer(*down, down->spec.service);
      }
    });
  }
}

void FaultDriver::ReuseAddress(Duration aLength)
{
  SoakServer* server = world_.PickServer(random_);
  if (server == nullptr) {
    return;
  }
  server->process.reset();
  world_.After(aLength, [this, id = server->spec.id] {
    SoakServer* down = world_.FindServer(id);
    SoakServer* other = world_.PickServer(random_);
    if (down != nullptr) {
      world_.ReviveServer(
        *down, other == nullptr ? down->spec.service : other->spec.service);
    }
  });
}

void FaultDriver::CutServerLink(Duration)
{
  if (SoakServer* server = world_.PickServer(random_)) {
    server->link->Cut();
  }
}

void FaultDriver::SilenceAnswers(Duration aLength)
{
  if (SoakServer* server = world_.PickServer(random_)) {
    LinkFaults silent;
    silent.stall = true;
    SetLink(*server->link, &ProxyPair::down, silent, aLength);
  }
}

void FaultDriver::DelayServerLink(Duration aLength)
{
  if (SoakServer* server = world_.PickServer(random_)) {
    LinkFaults slow;
    slow.latency = kLinkDelay;
    SetLink(*server->link, &ProxyPair::up, slow, aLength);
  }
}

void FaultDriver::SpoilServer(Duration aLength)
{
  SoakServer* server = world_.PickServer(random_);
  if (server == nullptr) {
    return;
  }
  ServerFaults faults;
  kServerFaultSetters[random_() % kServerFaultSetters.size()](faults);
  server->process->SetFaults(faults);
  world_.After(aLength, [this, id = server->spec.id] {
    SoakServer* spoiled = world_.FindServer(id);
    if (spoiled != nullptr && spoiled->process) {
      spoiled->process->SetFaults(ServerFaults());
    }
  });
}

} // namespace lacewing
