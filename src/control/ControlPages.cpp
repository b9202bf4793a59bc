#include "control/ControlPages.h"

#include "control/ControlDump.h"
#include "control/ControlMetrics.h"
#include "control/ControlState.h"

#include <string>
#include <utility>

namespace lacewing {

namespace {

HttpResponse Text(int aStatus,
                  std::string aBody,
                  const char* aType = "text/plain")
{
  HttpResponse response;
  response.status = aStatus;
  response.fields.Add("Content-Type", aType);
  response.body = std::move(aBody);
  return response;
}

} // namespace

/** A path and the member that makes its page. */
struct ControlPages::Page
{
  const char* path;
  HttpResponse (ControlPages::*make)() const;
};

const ControlPages::Page ControlPages::kPages[] = {
  { "/health", &ControlPages::Health },   { "/ready", &ControlPages::Ready },
  { "/metrics", &ControlPages::Metrics }, { "/dump", &ControlPages::Dump },
  { "/version", &ControlPages::Version },
};

HttpResponse ControlPages::Answer(const HttpRequest& aRequest) const
{
  if (aRequest.method != "GET" && aRequest.method != "HEAD") {
    return Text(405, "only GET and HEAD\n");
  }
  const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  for (const Page& page : kPages) {
    if (path == page.path) {
      return (this->*page.make)();
    }
  }
  return Text(404, "pages: /health /ready /metrics /dump /version\n");
}

HttpResponse ControlPages::Health() const
{
  return Text(200, "ok\n");
}

HttpResponse ControlPages::Ready() const
{
  if (state_.stopping) {
    return Text(503, "stopping\n");
  }
  return state_.book.InForce() != nullptr ? Text(200, "ready\n")
                                          : Text(503, "no configuration\n");
}

HttpResponse ControlPages::Metrics() const
{
  return Text(200,
              MakeControlMetrics(state_),
              "text/plain; version=0.0.4; charset=utf-8");
}

HttpResponse ControlPages::Dump() const
{
  return Text(200, MakeControlDump(clock_, state_), "application/json");
}

HttpResponse ControlPages::Version() const
{
  return Text(200, "lacewing-controld " LACEWING_VERSION "\n");
}

} // namespace lacewing
