#include "net/AdminPages.h"

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
struct AdminPages::Page
{
  const char* path;
  HttpResponse (AdminPages::*make)() const;
};

const AdminPages::Page AdminPages::kPages[] = {
  { "/health", &AdminPages::Health },   { "/ready", &AdminPages::Ready },
  { "/metrics", &AdminPages::Metrics }, { "/dump", &AdminPages::Dump },
  { "/version", &AdminPages::Version },
};

AdminPages::AdminPages(std::string aProgram,
                       std::unique_ptr<AdminSource> aSource)
  : program_(std::move(aProgram))
  , source_(std::move(aSource))
{
}

HttpResponse AdminPages::Answer(const HttpRequest& aRequest) const
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

HttpResponse AdminPages::Health() const
{
  return Text(200, "ok\n");
}

HttpResponse AdminPages::Ready() const
{
  const std::string reason = source_->NotReady();
  return reason.empty() ? Text(200, "ready\n") : Text(503, reason + "\n");
}

HttpResponse AdminPages::Metrics() const
{
  return Text(
    200, source_->Metrics(), "text/plain; version=0.0.4; charset=utf-8");
}

HttpResponse AdminPages::Dump() const
{
  return Text(200, source_->Dump(), "application/json");
}

HttpResponse AdminPages::Version() const
{
  return Text(200, program_ + " " LACEWING_VERSION "\n");
}

} // namespace lacewing
