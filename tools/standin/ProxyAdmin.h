#ifndef STANDIN_PROXYADMIN_H
#define STANDIN_PROXYADMIN_H

#include "lacewing/Outcome.h"
#include "net/HttpServer.h"
#include "standin/AdminRoute.h"
#include "standin/ProxyPair.h"

#include <memory>
#include <vector>

namespace lacewing {

/**
 * Admin port of fault-proxy. PORT is the port that a pair listens on, or
 * "all"; DIRECTION is "up" (towards --to) or "down".
 * GET /pairs; PUT /pairs/PORT/DIRECTION (an object of faults);
 * PUT /pairs/PORT/refuse (true or false); POST /pairs/PORT/cut;
 * POST /pairs/PORT/DIRECTION/half_close.
 */
class ProxyAdmin
{
public:
  static Outcome<std::unique_ptr<ProxyAdmin>> Make(
    asio::io_context& aContext,
    const Endpoint& aEndpoint,
    const std::vector<std::unique_ptr<ProxyPair>>& aPairs);

private:
  /** What PUT or POST /pairs/PORT/NAME does to a pair. */
  struct Change
  {
    const char* method;
    const char* name;
    LinkState ProxyPair::*direction;
    Outcome<void> (ProxyAdmin::*apply)(ProxyPair& aPair,
                                       LinkState ProxyPair::*aDirection,
                                       const nlohmann::json& aJson);
  };

  static const AdminRoute<ProxyAdmin> kRoutes[];
  static const Change kChanges[];

  explicit ProxyAdmin(const std::vector<std::unique_ptr<ProxyPair>>& aPairs);

  HttpResponse GetPairs(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse ChangePairs(const HttpRequest& aRequest,
                           const std::string& aPath);

  Outcome<void> SetFaults(ProxyPair& aPair,
                          LinkState ProxyPair::*aDirection,
                          const nlohmann::json& aJson);
  Outcome<void> SetRefusing(ProxyPair& aPair,
                            LinkState ProxyPair::*aDirection,
                            const nlohmann::json& aJson);
  Outcome<void> Cut(ProxyPair& aPair,
                    LinkState ProxyPair::*aDirection,
                    const nlohmann::json& aJson);
  Outcome<void> HalfClose(ProxyPair& aPair,
                          LinkState ProxyPair::*aDirection,
                          const nlohmann::json& aJson);

  const std::vector<std::unique_ptr<ProxyPair>>& pairs_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace lacewing

#endif // STANDIN_PROXYADMIN_H
