#include "standin/TargetAdmin.h"

#include "core/JsonProperties.h"

#include <utility>

namespace lacewing {

namespace {

constexpr std::string_view kTargetsPrefix = "/targets/";
constexpr std::string_view kRestartSuffix = "/restart";

nlohmann::json ParseBody(const HttpRequest& aRequest)
{
  return nlohmann::json::parse(aRequest.body, nullptr, false);
}

HttpResponse ChangeAnswer(const Outcome<void>& aChange)
{
  return aChange ? StatusAnswer(204) : BadRequestAnswer(aChange.error());
}

} // namespace

const AdminRoute<TargetAdmin> TargetAdmin::kRoutes[] = {
  { "GET", "/runs", true, &TargetAdmin::GetRuns },
  { "DELETE", "/runs", true, &TargetAdmin::ClearRuns },
  { "GET", "/stats", true, &TargetAdmin::GetStats },
  { "GET", "/targets", true, &TargetAdmin::GetTargets },
  { "PUT", "/faults", true, &TargetAdmin::PutFaults },
  { "PUT", kTargetsPrefix, false, &TargetAdmin::PutTarget },
  { "POST", kTargetsPrefix, false, &TargetAdmin::RestartTarget },
};

TargetAdmin::TargetAdmin(const Clock& aClock,
                         const std::vector<std::unique_ptr<Target>>& aTargets,
                         RunLog& aLog,
                         TimePoint aProcessStart)
  : clock_(aClock)
  , targets_(aTargets)
  , log_(aLog)
  , processStart_(aProcessStart)
{
}

Outcome<std::unique_ptr<TargetAdmin>> TargetAdmin::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const Endpoint& aEndpoint,
  const std::vector<std::unique_ptr<Target>>& aTargets,
  RunLog& aLog,
  TimePoint aProcessStart)
{
  std::unique_ptr<TargetAdmin> admin(
    new TargetAdmin(aClock, aTargets, aLog, aProcessStart));
  HttpServerOptions options;
  options.endpoint = aEndpoint;
  BOOST_OUTCOME_TRY(
    admin->server_,
    HttpServer::Make(
      aContext,
      options,
      [self = admin.get()](const HttpRequest& aRequest,
                           const std::shared_ptr<HttpResponder>& aResponder) {
        aResponder->Send(AnswerByRoute(*self, kRoutes, aRequest));
      }));
  return admin;
}

HttpResponse TargetAdmin::GetRuns(const HttpRequest&, const std::string&)
{
  HttpResponse answer = StatusAnswer(200);
  answer.body = log_.ToJsonLines();
  return answer;
}

HttpResponse TargetAdmin::ClearRuns(const HttpRequest&, const std::string&)
{
  log_.Clear();
  return StatusAnswer(204);
}

HttpResponse TargetAdmin::GetStats(const HttpRequest&, const std::string&)
{
  nlohmann::json json;
  json["now_ms"] =
    std::chrono::duration<double, std::milli>(clock_.Now() - processStart_)
      .count();
  json["targets"] = nlohmann::json::array();
  for (const auto& target : targets_) {
    json["targets"].push_back(target->Stats());
  }
  return JsonAnswer(json);
}

HttpResponse TargetAdmin::GetTargets(const HttpRequest&, const std::string&)
{
  nlohmann::json json = nlohmann::json::array();
  for (const auto& target : targets_) {
    nlohmann::json entry =
      GetProperties(target->Spec().properties, kTargetProperties);
    entry["id"] = target->Spec().id.value();
    entry["listen"] = target->Spec().endpoint.ToString();
    json.push_back(std::move(entry));
  }
  return JsonAnswer(json);
}

HttpResponse TargetAdmin::PutTarget(const HttpRequest& aRequest,
                                    const std::string& aPath)
{
  const std::string rest = aPath.substr(kTargetsPrefix.size());
  const std::size_t slash = rest.find('/');
  Target* target = Find(rest.substr(0, slash));
  if (!target) {
    return StatusAnswer(404);
  }
  if (slash == std::string::npos) {
    return ChangeAnswer(target->Change(ParseBody(aRequest)));
  }
  nlohmann::json value = ParseBody(aRequest);
  if (value.is_discarded()) {
    value = aRequest.body;
  }
  return ChangeAnswer(target->Change({ { rest.substr(slash + 1), value } }));
}

HttpResponse TargetAdmin::PutFaults(const HttpRequest& aRequest,
                                    const std::string&)
{
  nlohmann::json json = ParseBody(aRequest);
  std::string only;
  if (json.is_object() && json.contains("target")) {
    only = json["target"].is_string() ? json["target"].get<std::string>()
                                      : json["target"].dump();
    json.erase("target");
    Target* target = Find(only);
    return target ? ChangeAnswer(target->Change(json)) : StatusAnswer(404);
  }
  for (const auto& target : targets_) {
    const Outcome<void> changed = target->Change(json);
    if (!changed) {
      return BadRequestAnswer(changed.error());
    }
  }
  return StatusAnswer(204);
}

HttpResponse TargetAdmin::RestartTarget(const HttpRequest&,
                                        const std::string& aPath)
{
  const std::string rest = aPath.substr(kTargetsPrefix.size());
  const std::size_t slash = rest.find('/');
  Target* target = Find(rest.substr(0, slash));
  if (!target || slash == std::string::npos ||
      rest.substr(slash) != kRestartSuffix) {
    return StatusAnswer(404);
  }
  target->Restart();
  return StatusAnswer(204);
}

Target* TargetAdmin::Find(const std::string& aIdOrPort) const
{
  for (const auto& target : targets_) {
    if (target->Spec().id.value() == aIdOrPort ||
        std::to_string(target->Spec().endpoint.port) == aIdOrPort) {
      return target.get();
    }
  }
  return nullptr;
}

} // namespace lacewing
