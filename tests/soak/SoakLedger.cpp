#include "soak/SoakLedger.h"

#include "support/ServerStandin.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
// At least this share of the requests sent after all faults have ended must be
// served; the rest allows for requests on connections that were just closing.
constexpr double kServedShare = 0.95;
// A host that was disturbed within this time before may have lost a request.
constexpr Duration kDisturbedFor = std::chrono::seconds(3);

bool PromisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

std::string FieldOf(const HttpMessage& aMessage, const char* aName)
{
  const std::string* value = aMessage.head.fields.Find(aName);
  return value == nullptr ? std::string() : *value;
}

HttpMessage AsMessage(const SoakRequest& aRequest)
{
  HttpMessage message;
  message.head.method = aRequest.method;
  message.head.target = aRequest.target;
  message.head.fields.Add("Lacewinghoist-Request-Id", aRequest.id);
  message.body = aRequest.body;
  return message;
}

} // namespace

SoakLedger::SoakLedger(const Clock& aClock,
                       const SoakTerms& aTerms,
                       bool aPlannedOnly)
  : clock_(aClock)
  , terms_(aTerms)
  , plannedOnly_(aPlannedOnly)
  , startedAt_(aClock.Now())
{
}

void SoakLedger::AddViolation(const std::string& aRule,
                              const std::string& aDetail)
{
  violations_.push_back(aRule + " " + aDetail);
}

void SoakLedger::OnSent(SoakRequest aRequest)
{
  aRequest.sentAt = clock_.Now();
  const std::string id = aRequest.id;
  requests_.emplace(id, std::move(aRequest));
}

void SoakLedger::OnArrival(const ServerSpec& aServer,
                           const HttpMessage& aRequest,
                           bool aCold)
{
  const auto found =
    requests_.find(FieldOf(aRequest, "Lacewinghoist-Request-Id"));
  if (found != requests_.end()) {
    found->second.reached.push_back(aServer.id.value());
  }
  if (!aCold) {
    return;
  }
  const TimePoint now = clock_.Now();
  std::deque<TimePoint>& arrivals = coldArrivals_[aServer.id];
  arrivals.push_back(now);
  while (now - arrivals.front() > kSecond) {
    arrivals.pop_front();
  }
  const double bound =
    terms_.warmUpRate * terms_.coldOvershoot + terms_.coldSlack;
  if (static_cast<double>(arrivals.size()) > bound) {
    AddViolation("cold-start",
                 aServer.id.value() + " received " +
                   std::to_string(arrivals.size()) +
                   " requests within a second");
  }
}

void SoakLedger::OnRun(const ServerSpec& aServer, const HttpMessage& aRequest)
{
  const std::string id = FieldOf(aRequest, "Lacewinghoist-Request-Id");
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    AddViolation("unasked", aServer.id.value() + " runs \"" + id + "\"");
    return;
  }
  SoakRequest& request = found->second;
  const TimePoint now = clock_.Now();
  if (request.method != aRequest.head.method ||
      request.target != aRequest.head.target || request.body != aRequest.body) {
    AddViolation("unasked", id + " differs from the request that was sent");
  }
  if (!routes_.EverAllowed(request.prefix, aServer.service)) {
    AddViolation("route", id + " ran at " + aServer.service.value());
  }
  CheckNotTakenBack(request, aServer.service);
  if (plannedOnly_) {
    if (!routes_.Allowed(request.prefix,
                         aServer.service,
                         request.sentAt - terms_.configApply,
                         now)) {
      AddViolation("config", id + " ran at " + aServer.service.value());
    }
    const auto left = leaving_.find(aServer.id);
    if (left != leaving_.end() && now - left->second > terms_.drain) {
      AddViolation("drain", id + " reached " + aServer.id.value());
    }
    const auto out = zonesOut_.find(aServer.zone);
    if (out != zonesOut_.end() && now - out->second > terms_.evacuate) {
      AddViolation("evacuation", id + " reached " + aServer.zone.value());
    }
  }
  request.runs.push_back({ aServer.id.value(), aServer.service, now });
}

void SoakLedger::OnEnded(const std::string& aId, const ExchangeResult& aResult)
{
  SoakRequest& request = requests_.at(aId);
  RecordEnd(request);
  if (aResult.end == ExchangeEnd::kAnswered) {
    request.status = aResult.answer.head.status;
    CheckResponse(request, aResult.answer);
  } else if (aResult.end == ExchangeEnd::kMalformed) {
    AddViolation("mixed", aId + " received a malformed response");
  }
}

void SoakLedger::OnGaveUp(const std::string& aId, bool aOverdue)
{
  SoakRequest& request = requests_.at(aId);
  request.gaveUp = true;
  request.overdue = aOverdue;
  RecordEnd(request);
}

void SoakLedger::RecordEnd(SoakRequest& aRequest)
{
  const TimePoint now = clock_.Now();
  const TimePoint from = std::min(now - kDisturbedFor, aRequest.sentAt);
  aRequest.endedAt = now;
  aRequest.hostDisturbed = disturbances_.Disturbed(aRequest.host, from);
  aRequest.hostRestarting = disturbances_.Restarting(aRequest.host, from);
}

void SoakLedger::CheckResponse(const SoakRequest& aRequest,
                               const HttpMessage& aResponse)
{
  const std::string id = FieldOf(aResponse, "Lacewinghoist-Request-Id");
  const std::string signature =
    FieldOf(aResponse, "Lacewinghoist-Server-Signature");
  if (!id.empty() && id != aRequest.id) {
    AddViolation("mixed", aRequest.id + " received the response to " + id);
  }
  if (aRequest.status == 200 &&
      (signature.empty() ||
       aResponse.body != ServerStandin::ResponseBody(AsMessage(aRequest)))) {
    AddViolation("mixed",
                 aRequest.id + " received an unexpected body or no signature");
  }
  if (aRequest.status == 404) {
    CheckDenied(aRequest);
  }
}

/** The routes of all versions are never denied, that of one when it is due. */
void SoakLedger::CheckDenied(const SoakRequest& aRequest)
{
  const std::string denied =
    aRequest.id + " for " + aRequest.prefix + " at " + aRequest.host;
  if (aRequest.version == ConfigVersion()) {
    AddViolation("denied", denied + " received 404");
    return;
  }
  if (plannedOnly_ &&
      routes_.Due(aRequest.prefix, aRequest.sentAt - terms_.configApply)) {
    AddViolation("config", denied + " received 404 though the route is due");
  }
  const UsedVersion* used = UsedBefore(aRequest);
  if (used != nullptr && used->version >= aRequest.version) {
    AddViolation("taken-back",
                 denied + " received 404 after version " +
                   std::to_string(used->version.value()) + " was used");
  }
}

const SoakLedger::UsedVersion* SoakLedger::UsedBefore(
  const SoakRequest& aRequest) const
{
  const auto used = usedVersions_.find(aRequest.host);
  return used != usedVersions_.end() &&
             used->second.version != ConfigVersion() &&
             used->second.at + terms_.rollbackSlack < aRequest.sentAt
           ? &used->second
           : nullptr;
}

/** A host that has used a version does not handle requests by older ones. */
void SoakLedger::CheckNotTakenBack(const SoakRequest& aRequest,
                                   const ServiceId& aService)
{
  const UsedVersion* before = UsedBefore(aRequest);
  // The own route of an older version is one of all later versions too.
  if (before != nullptr && aRequest.version == ConfigVersion() &&
      !routes_.AllowedSince(before->version, aRequest.prefix, aService)) {
    AddViolation("taken-back",
                 aRequest.id + " for " + aRequest.prefix + " at " +
                   aRequest.host + " ran at " + aService.value() +
                   " after version " + std::to_string(before->version.value()) +
                   " was used");
  }
  // A request that an earlier process had passed on may still arrive.
  UsedVersion& used = usedVersions_[aRequest.host];
  if (aRequest.sentAt >= used.startedAt && aRequest.version > used.version) {
    used.version = aRequest.version;
    used.at = clock_.Now();
  }
}

void SoakLedger::OnHostStarted(const std::string& aHost)
{
  usedVersions_[aHost] = { clock_.Now(), ConfigVersion(), TimePoint() };
}

void SoakLedger::OnStoreAway(TimePoint aSettled)
{
  const TimePoint now = clock_.Now();
  routes_.Delay(now - terms_.configApply, aSettled);
  for (auto& [server, at] : leaving_) {
    at = now - at < terms_.drain ? aSettled : at;
  }
  for (auto& [zone, at] : zonesOut_) {
    at = now - at < terms_.evacuate ? aSettled : at;
  }
}

bool SoakLedger::LeavingNow(const TargetId& aServer) const
{
  const auto left = leaving_.find(aServer);
  return left != leaving_.end() && clock_.Now() - left->second < terms_.drain;
}

void SoakLedger::OnServerLeaving(const TargetId& aServer)
{
  leaving_.emplace(aServer, clock_.Now());
}

void SoakLedger::OnZoneOut(const ZoneId& aZone)
{
  zonesOut_.emplace(aZone, clock_.Now());
}

void SoakLedger::OnZoneBack(const ZoneId& aZone)
{
  zonesOut_.erase(aZone);
}

void SoakLedger::CheckRequest(const SoakRequest& aRequest)
{
  if (aRequest.atMostOnce && aRequest.runs.size() > 1) {
    AddViolation("twice", aRequest.id + " ran more than once");
  }
  if (aRequest.atMostOnce && !aRequest.runs.empty() &&
      PromisesNotRun(aRequest.status)) {
    AddViolation("refused",
                 aRequest.id +
                   " ran, but its status promises that it did not run");
  }
  std::set<std::string> servers;
  for (const SoakRequest::Run& run : aRequest.runs) {
    servers.insert(run.server);
  }
  if (servers.size() > terms_.maxAttempts) {
    AddViolation("attempts",
                 aRequest.id + " ran at more servers than max_attempts");
  }
  CheckAnswered(aRequest);
  if (plannedOnly_) {
    CheckPlanned(aRequest);
  }
}

/**
 * A host that was not disturbed answers each request that it has passed on, and
 * each whose caller has ended its sending side.
 */
void SoakLedger::CheckAnswered(const SoakRequest& aRequest)
{
  const bool unanswered = aRequest.status == 0 &&
                          (!aRequest.gaveUp || aRequest.overdue) &&
                          aRequest.endedAt;
  if (!unanswered || aRequest.hostDisturbed) {
    return;
  }
  const bool refusedConnection =
    aRequest.reached.empty() && aRequest.hostRestarting;
  if (aRequest.overdue || !aRequest.reached.empty() ||
      (aRequest.endedSending && !refusedConnection)) {
    const auto sinceStart = [this](TimePoint aAt) {
      return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(aAt - startedAt_)
          .count());
    };
    AddViolation("unanswered",
                 aRequest.id + " host=" + aRequest.host +
                   " reached=" + std::to_string(aRequest.reached.size()) +
                   " runs=" + std::to_string(aRequest.runs.size()) +
                   " ended_sending=" + std::to_string(aRequest.endedSending) +
                   " overdue=" + std::to_string(aRequest.overdue) +
                   " sent_ms=" + sinceStart(aRequest.sentAt) +
                   " ended_ms=" + sinceStart(*aRequest.endedAt));
  }
}

/**
 * During planned changes a request gets a response, unless it was sent while
 * the host closed the connection.
 */
void SoakLedger::CheckPlanned(const SoakRequest& aRequest)
{
  if (aRequest.gaveUp || !aRequest.endedAt) {
    return;
  }
  if (aRequest.status == 0 &&
      (!aRequest.runs.empty() ||
       *aRequest.endedAt - aRequest.sentAt > terms_.lossSlack)) {
    AddViolation("lost", aRequest.id + " received no response");
  }
  if (aRequest.status >= 500 && aRequest.status != 503) {
    AddViolation("lost",
                 aRequest.id + " received " + std::to_string(aRequest.status));
  }
}

void SoakLedger::CheckRetries()
{
  std::map<ServiceId, std::vector<TimePoint>> sent;
  std::map<ServiceId, std::vector<TimePoint>> repeats;
  for (const auto& [id, request] : requests_) {
    for (std::size_t i = 0; i < request.runs.size(); ++i) {
      (i == 0 ? sent : repeats)[request.runs[i].service].push_back(
        request.runs[i].at);
    }
  }
  for (auto& [service, times] : repeats) {
    std::sort(times.begin(), times.end());
    const auto count = [this](const std::vector<TimePoint>& aTimes,
                              TimePoint aEnd) {
      return std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aAt) {
        return aAt <= aEnd && aAt > aEnd - terms_.retryWindow;
      });
    };
    for (const TimePoint end : times) {
      const auto base =
        std::max(count(sent[service], end),
                 count(sent[service], end - terms_.retryWindow / 2));
      const double bound =
        terms_.retryRatio * static_cast<double>(base) + terms_.retrySlack;
      if (static_cast<double>(count(times, end)) > bound) {
        AddViolation("repeats", service.value() + " received too many retries");
        return;
      }
    }
  }
}

void SoakLedger::CheckRequests()
{
  for (const auto& [id, request] : requests_) {
    CheckRequest(request);
  }
  CheckRetries();
}

void SoakLedger::CheckServed(TimePoint aFrom)
{
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& [id, request] : requests_) {
    if (request.sentAt >= aFrom && !request.gaveUp && request.endedAt &&
        request.version == ConfigVersion()) {
      ++sent;
      served += request.status == 200 ? 1 : 0;
    }
  }
  if (static_cast<double>(served) < kServedShare * static_cast<double>(sent) ||
      sent == 0) {
    AddViolation("recovery",
                 std::to_string(served) + " of " + std::to_string(sent) +
                   " requests were served after the last fault");
  }
}

std::string SoakLedger::Summary() const
{
  std::map<unsigned, std::size_t> statuses;
  std::size_t runs = 0;
  for (const auto& [id, request] : requests_) {
    ++statuses[request.gaveUp ? 1 : request.status];
    runs += request.runs.size();
  }
  std::string text = "requests=" + std::to_string(requests_.size()) +
                     " runs=" + std::to_string(runs);
  for (const auto& [status, count] : statuses) {
    text += (status == 0   ? " lost"
             : status == 1 ? " gave_up"
                           : " status_" + std::to_string(status)) +
            std::string("=") + std::to_string(count);
  }
  return text;
}

} // namespace lacewing
