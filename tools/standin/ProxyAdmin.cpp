#include "standin/ProxyAdmin.h"

#include "core/JsonProperties.h"

#include <utility>

namespace lacewing {

namespace {

constexpr std::string_view kPairsPrefix = "/pairs/";

} // namespace

const AdminRoute<ProxyAdmin> ProxyAdmin::kRoutes[] = {
  { "GET", "/pairs", true, &ProxyAdmin::GetPairs },
  { "PUT", kPairsPrefix, false, &ProxyAdmin::ChangePairs },
  { "POST", kPairsPrefix, false, &ProxyAdmin::ChangePairs },
};

const ProxyAdmin::Change ProxyAdmin::kChanges[] = {
  { "PUT", "up", &ProxyPair::up, &ProxyAdmin::SetFaults },
  { "PUT", "down", &ProxyPair::down, &ProxyAdmin::SetFaults },
  { "PUT", "refuse", nullptr, &ProxyAdmin::SetRefusing },
  { "POST", "cut", nullptr, &ProxyAdmin::Cut },
  { "POST", "up/half_close", &ProxyPair::up, &ProxyAdmin::HalfClose },
  { "POST", "down/half_close", &ProxyPair::down, &ProxyAdmin::HalfClose },
};

ProxyAdmin::ProxyAdmin(const std::vector<std::unique_ptr<ProxyPair>>& aPairs)
  : pairs_(aPairs)
{
}

Outcome<std::unique_ptr<ProxyAdmin>> ProxyAdmin::Make(
  asio::io_context& aContext,
  const Endpoint& aEndpoint,
  const std::vector<std::unique_ptr<ProxyPair>>& aPairs)
{
  std::unique_ptr<ProxyAdmin> admin(new ProxyAdmin(aPairs));
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

HttpResponse ProxyAdmin::GetPairs(const HttpRequest&, const std::string&)
{
  nlohmann::json json = nlohmann::json::array();
  for (const auto& pair : pairs_) {
    json.push_back({ { "listen", pair->ListenEndpoint().ToString() },
                     { "connections", pair->Connections() },
                     { "refuse", pair->Refusing() },
                     { "up", GetProperties(pair->up.faults, kLinkFaults) },
                     { "up_bytes", pair->up.carried.value() },
                     { "down", GetProperties(pair->down.faults, kLinkFaults) },
                     { "down_bytes", pair->down.carried.value() } });
  }
  return JsonAnswer(json);
}

HttpResponse ProxyAdmin::ChangePairs(const HttpRequest& aRequest,
                                     const std::string& aPath)
{
  const std::string rest = aPath.substr(kPairsPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string port = rest.substr(0, slash);
  const std::string name =
    slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  const nlohmann::json json =
    nlohmann::json::parse(aRequest.body, nullptr, false);
  bool found = false;
  for (const Change& change : kChanges) {
    if (aRequest.method != change.method || name != change.name) {
      continue;
    }
    for (const auto& pair : pairs_) {
      if (port != "all" &&
          port != std::to_string(pair->ListenEndpoint().port)) {
        continue;
      }
      found = true;
      const Outcome<void> applied =
        (this->*change.apply)(*pair, change.direction, json);
      if (!applied) {
        return BadRequestAnswer(applied.error());
      }
    }
  }
  return StatusAnswer(found ? 204 : 404);
}

Outcome<void> ProxyAdmin::SetFaults(ProxyPair& aPair,
                                    LinkState ProxyPair::*aDirection,
                                    const nlohmann::json& aJson)
{
  LinkFaults faults = (aPair.*aDirection).faults;
  BOOST_OUTCOME_TRY(SetProperties(faults, kLinkFaults, aJson));
  aPair.SetFaults(aDirection, faults);
  return outcome::success();
}

Outcome<void> ProxyAdmin::SetRefusing(ProxyPair& aPair,
                                      LinkState ProxyPair::*,
                                      const nlohmann::json& aJson)
{
  if (!aJson.is_boolean()) {
    return Fail(ErrorKind::kInvalidArgument,
                "the body is neither true nor false",
                "send true or false");
  }
  return aPair.SetRefusing(aJson.get<bool>());
}

Outcome<void> ProxyAdmin::Cut(ProxyPair& aPair,
                              LinkState ProxyPair::*,
                              const nlohmann::json&)
{
  aPair.Cut();
  return outcome::success();
}

Outcome<void> ProxyAdmin::HalfClose(ProxyPair& aPair,
                                    LinkState ProxyPair::*aDirection,
                                    const nlohmann::json&)
{
  aPair.HalfClose(aDirection);
  return outcome::success();
}

} // namespace lacewing
