#include "load/LoadWorker.h"

#include "core/StableHash.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Arrivals sent in one go before answers are read again.
constexpr int kMaxBatch = 64;
// Entry hosts tried for one request; refusals prove that it was not run.
constexpr int kMaxRefusals = 3;

HttpClientOptions ClientOptions()
{
  HttpClientOptions options;
  options.maxIdleConnections = 4096;
  return options;
}

} // namespace

LoadWorker::LoadWorker(std::shared_ptr<const LoadExperiment> aExperiment,
                       const Clock& aClock,
                       const Options& aOptions)
  : experiment_(std::move(aExperiment))
  , clock_(aClock)
  , options_(aOptions)
  , maxInFlight_(std::max<std::size_t>(1,
                                       experiment_->settings.maxInFlight /
                                         aOptions.threads))
  , client_(context_, ClientOptions())
  , timer_(context_)
  , engine_(StableHash64("load-worker",
                         experiment_->settings.seed * 1024 + aOptions.thread))
  , factory_(*experiment_,
             aOptions.idPrefix + "-" + std::to_string(aOptions.thread) + "-")
  , entries_(experiment_->entries.size())
  , tallies_(experiment_->phases.size(),
             std::vector<LoadTally>(experiment_->kinds.size()))
  , slices_(experiment_->SliceCount())
{
}

void LoadWorker::Run()
{
  phaseStart_ = options_.start;
  StartPhase(0);
  WaitForNext();
  context_.run();
}

void LoadWorker::StopWhenDone()
{
  if (next_ == TimePoint::max() && inFlight_ == 0) {
    context_.stop();
  }
}

void LoadWorker::SetReady(std::size_t aEntry, bool aReady)
{
  asio::post(context_,
             [this, aEntry, aReady] { entries_[aEntry].ready = aReady; });
}

void LoadWorker::StartPhase(std::size_t aPhase)
{
  phase_ = aPhase;
  arrivals_ = std::make_unique<ArrivalProcess>(
    experiment_->phases[aPhase], options_.thread, options_.threads);
  DrawNext();
}

void LoadWorker::DrawNext()
{
  const Duration offset = arrivals_->Next(engine_);
  next_ = phaseStart_ + offset;
  if (offset < experiment_->phases[phase_].duration) {
    return;
  }
  phaseStart_ += experiment_->phases[phase_].duration;
  if (phase_ + 1 < experiment_->phases.size()) {
    StartPhase(phase_ + 1);
  } else {
    next_ = TimePoint::max();
  }
}

void LoadWorker::WaitForNext()
{
  if (next_ == TimePoint::max()) {
    StopWhenDone();
    return;
  }
  timer_.ArmAt(next_, [this] { SendDue(); });
}

void LoadWorker::SendDue()
{
  for (int i = 0; i < kMaxBatch && next_ <= clock_.Now(); ++i) {
    const TimePoint intended = next_;
    const std::size_t phase = phase_;
    DrawNext();
    SendOne(intended, phase);
  }
  WaitForNext();
}

void LoadWorker::SendOne(TimePoint aIntended, std::size_t aPhase)
{
  const auto request = std::make_shared<LoadRequest>(factory_.Make(engine_));
  request->phase = aPhase;
  request->intended = aIntended;
  LoadTally& tally = tallies_[request->phase][request->kind];
  if (inFlight_ >= maxInFlight_) {
    ++tally.overrun;
    return;
  }
  ++tally.sent;
  ++SliceOf(*request).sent;
  tally.sendLag.Add(clock_.Now() - aIntended);
  ++inFlight_;
  Send(request);
}

void LoadWorker::Send(const std::shared_ptr<LoadRequest>& aRequest)
{
  aRequest->entry = ChooseEntry();
  aRequest->call.endpoint = experiment_->entries[aRequest->entry].endpoint;
  client_.Start(aRequest->call,
                [this, aRequest](const HttpCallResult& aResult) {
                  OnResult(aRequest, aResult);
                });
}

void LoadWorker::OnResult(const std::shared_ptr<LoadRequest>& aRequest,
                          const HttpCallResult& aResult)
{
  const TimePoint now = clock_.Now();
  if (aResult.end == HttpCallEnd::kNotSent) {
    entries_[aRequest->entry].avoidedUntil = now + experiment_->settings.avoid;
    if (++aRequest->refusals < kMaxRefusals) {
      Send(aRequest);
      return;
    }
  }
  --inFlight_;
  StopWhenDone();
  const Duration latency = now - aRequest->intended;
  const CheckedAnswer answer = CheckAnswer(aResult, aRequest->expected);
  tallies_[aRequest->phase][aRequest->kind].Add(answer, latency);
  SliceOf(*aRequest).Add(answer, latency);
  if (options_.keepRecords) {
    records_.push_back(
      { aRequest->id,
        aRequest->phase,
        aRequest->kind,
        aRequest->intended - options_.start,
        latency,
        answer,
        aResult.end == HttpCallEnd::kAnswered ? aResult.response.status : 0 });
  }
}

LoadTally& LoadWorker::SliceOf(const LoadRequest& aRequest)
{
  return slices_[experiment_->SliceOf(aRequest.intended - options_.start)];
}

std::size_t LoadWorker::ChooseEntry()
{
  const TimePoint now = clock_.Now();
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].ready && entries_[i].avoidedUntil <= now) {
      usable.push_back(i);
    }
  }
  std::uniform_int_distribution<std::size_t> any(
    0, (usable.empty() ? entries_.size() : usable.size()) - 1);
  const std::size_t chosen = any(engine_);
  return usable.empty() ? chosen : usable[chosen];
}

} // namespace lacewing
