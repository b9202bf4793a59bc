#include "entry/EntryControl.h"

#include "core/Log.h"
#include "wire/GrantReturnMessage.h"
#include "wire/GrantWantMessage.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Design section 5.4: target reports go out each 100 ms. Wants and returns
// go with them.
constexpr std::chrono::milliseconds kTickPeriod(100);

// controld answers each want once, so a refused set has to be asked for anew;
// the pause bounds the cost of a set that stays invalid.
constexpr unsigned kTicksToRetry = 10;

// Phases of about 60 bytes, so that a message stays below 64 KB.
constexpr std::size_t kMaxPhases = 1000;

HelloMessage MakeHello(const EntrySettings& aSettings, Incarnation aIncarnation)
{
  HelloMessage hello;
  hello.role = WireRole::kEntry;
  hello.deployment = aSettings.deployment;
  hello.host = aSettings.host;
  hello.zone = aSettings.zone;
  hello.incarnation = aIncarnation;
  return hello;
}

std::set<TargetId> TargetsOf(const Configuration& aConfiguration)
{
  std::set<TargetId> targets;
  for (const auto& [id, service] : aConfiguration.services) {
    for (const TargetConfig& target : service->targets) {
      targets.insert(target.id);
    }
  }
  return targets;
}

} // namespace

EntryControl::EntryControl(asio::io_context& aContext,
                           const Clock& aClock,
                           const EntrySettings& aSettings,
                           Incarnation aIncarnation,
                           const Workers& aWorkers)
  : workers_(aWorkers)
  , builder_(aSettings.host, aSettings.zone, aSettings.workers)
  , phases_(aSettings.fixed ? TargetPhase::kWarm : TargetPhase::kCold)
  , reports_(aWorkers.size())
  , grants_(aClock, aSettings.host, aIncarnation, aWorkers.size())
  , tick_(aContext)
  , fixed_(aSettings.fixed)
{
  state_.reports.resize(aWorkers.size());
  if (fixed_) {
    Publish(*fixed_);
  }
  if (aSettings.controld) {
    link_ = std::make_unique<ControldLink>(aContext,
                                           *aSettings.controld,
                                           MakeHello(aSettings, aIncarnation),
                                           aSettings.seed,
                                           *this);
    ScheduleTick();
  }
}

void EntryControl::OnReport(WorkerReport aReport)
{
  if (link_) {
    grants_.OnReport(aReport);
    PostGrants();
    reports_.Add(aReport);
    if (reports_.Urgent()) {
      SendReports();
    }
  } else {
    ResolveColdSigns(aReport);
  }
  state_.reports.at(aReport.worker.value()) = std::move(aReport);
}

void EntryControl::ResolveColdSigns(const WorkerReport& aReport)
{
  bool changed = false;
  for (const TargetObservation& seen : aReport.observations) {
    if (seen.looksCold) {
      const Epoch next = phases_.Find(seen.target).epoch + Epoch(1);
      phases_.Merge(seen.target, { next, TargetPhase::kWarm });
      changed = true;
    }
  }
  if (changed) {
    Publish(*fixed_);
  }
}

void EntryControl::Drain()
{
  state_.stopping = true;
  for (const auto& worker : workers_) {
    worker->PostDrain();
  }
}

void EntryControl::Stop()
{
  for (const auto& worker : workers_) {
    worker->PostStop();
  }
}

bool EntryControl::Idle() const
{
  return std::all_of(state_.reports.begin(),
                     state_.reports.end(),
                     [](const WorkerReport& aReport) {
                       return aReport.stopped && aReport.openRequests == 0 &&
                              aReport.unfinishedRequests == 0 &&
                              aReport.buffered == ByteCount(0);
                     });
}

std::chrono::milliseconds EntryControl::LongestDeadline() const
{
  std::chrono::milliseconds longest(0);
  if (state_.snapshot) {
    for (const auto& [id, route] : state_.snapshot->services) {
      longest = std::max(longest, route->deadline);
    }
  }
  return longest;
}

void EntryControl::OnConnected()
{
  state_.controldConnected = true;
  SendPhases();
  link_->Send(configs_.Want());
}

void EntryControl::SendPhases()
{
  TargetStateMessage message;
  for (const auto& [target, status] : phases_.All()) {
    message.targets.push_back({ target, status.epoch, status.phase });
    if (message.targets.size() == kMaxPhases) {
      link_->Send(std::exchange(message, {}));
    }
  }
  if (!message.targets.empty()) {
    link_->Send(message);
  }
}

void EntryControl::OnDisconnected()
{
  // The last snapshot stays in force, and grants simply expire.
  state_.controldConnected = false;
  configs_.Reset();
}

void EntryControl::OnConfig(const ConfigMessage& aPart)
{
  const auto complete = configs_.OnPart(aPart);
  if (!complete) {
    Log(LogLevel::kError,
        "config-refused",
        { { "version", std::to_string(aPart.version.value()) },
          { "error", complete.error().ToString() } });
    ticksToWant_ = kTicksToRetry;
    return;
  }
  if (!complete.value()) {
    return;
  }
  const Configuration& configuration = *configs_.Current().configuration;
  Log(LogLevel::kInfo,
      "config-in-force",
      { { "version", std::to_string(configuration.version.value()) } });
  const std::set<TargetId> targets = TargetsOf(configuration);
  phases_.Keep(targets);
  grants_.Keep(targets);
  Publish(configuration);
  PostGrants();
  link_->SetVersion(configuration.version);
  link_->Send(configs_.Want());
}

void EntryControl::OnTargetState(const TargetStateMessage& aMessage)
{
  bool changed = false;
  for (const TargetStateEntry& entry : aMessage.targets) {
    changed =
      phases_.Merge(entry.target, { entry.epoch, entry.phase }) || changed;
  }
  if (changed && configs_.Current().configuration) {
    Publish(*configs_.Current().configuration);
  }
}

void EntryControl::OnGrant(const GrantMessage& aMessage)
{
  for (const GrantEntry& grant : aMessage.grants) {
    grants_.OnGrant(grant);
  }
  PostGrants();
}

void EntryControl::Publish(const Configuration& aConfiguration)
{
  state_.snapshot = builder_.Build(aConfiguration, phases_);
  for (const auto& worker : workers_) {
    worker->PostSnapshot(state_.snapshot);
  }
}

void EntryControl::PostGrants()
{
  grants_.Balance();
  for (std::uint32_t i = 0; i < workers_.size(); ++i) {
    if (auto list = grants_.TakeListFor(WorkerId(i))) {
      workers_[i]->PostGrants(grants_.RoundOf(WorkerId(i)), *std::move(list));
    }
  }
}

void EntryControl::SendReports()
{
  if (!reports_.empty()) {
    link_->Send(reports_.Take(phases_));
  }
}

void EntryControl::ScheduleTick()
{
  tick_.Arm(kTickPeriod, [this] {
    Tick();
    ScheduleTick();
  });
}

void EntryControl::Tick()
{
  state_.granted = grants_.HeldSlots();
  state_.badFrames = link_->BadFrames();
  state_.unknownFrames = link_->UnknownFrames();
  if (ticksToWant_ > 0 && --ticksToWant_ == 0) {
    link_->Send(configs_.Want());
  }
  SendReports();
  PostGrants();
  GrantReturnMessage returns{ grants_.TakeReturns() };
  if (!returns.grants.empty()) {
    link_->Send(returns);
  }
  if (!state_.stopping || !Idle()) {
    GrantWantMessage wants{ grants_.TakeWants(phases_) };
    if (!wants.grants.empty()) {
      link_->Send(wants);
    }
  }
}

} // namespace lacewing
