#ifndef STANDIN_TARGETADMIN_H
#define STANDIN_TARGETADMIN_H

#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "net/HttpServer.h"
#include "standin/AdminRoute.h"
#include "standin/Target.h"

#include <memory>
#include <vector>

namespace lacewing {

/**
 * Admin port of standin-target: GET /runs, GET /stats, GET /targets,
 * DELETE /runs, PUT /targets/ID (an object of properties),
 * PUT /targets/ID/PROPERTY (its value), PUT /faults (an object of properties
 * for all targets, or for "target") and POST /targets/ID/restart. ID is a
 * target's id or port.
 */
class TargetAdmin
{
public:
  static Outcome<std::unique_ptr<TargetAdmin>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const Endpoint& aEndpoint,
    const std::vector<std::unique_ptr<Target>>& aTargets,
    RunLog& aLog,
    TimePoint aProcessStart);

private:
  static const AdminRoute<TargetAdmin> kRoutes[];

  TargetAdmin(const Clock& aClock,
              const std::vector<std::unique_ptr<Target>>& aTargets,
              RunLog& aLog,
              TimePoint aProcessStart);

  HttpResponse GetRuns(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse ClearRuns(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse GetStats(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse GetTargets(const HttpRequest& aRequest,
                          const std::string& aPath);
  HttpResponse PutTarget(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse PutFaults(const HttpRequest& aRequest, const std::string& aPath);
  HttpResponse RestartTarget(const HttpRequest& aRequest,
                             const std::string& aPath);
  Target* Find(const std::string& aIdOrPort) const;

  const Clock& clock_;
  const std::vector<std::unique_ptr<Target>>& targets_;
  RunLog& log_;
  const TimePoint processStart_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace lacewing

#endif // STANDIN_TARGETADMIN_H
