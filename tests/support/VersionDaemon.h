#ifndef TESTS_SUPPORT_VERSIONDAEMON_H
#define TESTS_SUPPORT_VERSIONDAEMON_H

#include "net/HttpServer.h"

#include <asio/post.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace lacewing {

/** Admin port of a control daemon whose version in force the test sets. */
class VersionDaemon
{
public:
  explicit VersionDaemon(const Endpoint& aEndpoint)
  {
    HttpServerOptions options;
    options.endpoint = aEndpoint;
    auto server = HttpServer::Make(
      context_,
      options,
      [this](const HttpRequest& aRequest,
             const std::shared_ptr<HttpResponder>& aResponder) {
        HttpResponse response;
        response.status = aRequest.target == "/dump" ? 200 : 404;
        response.body =
          nlohmann::json{ { "config_version", version.load() } }.dump();
        aResponder->Send(std::move(response));
      });
    REQUIRE(server.has_value());
    server_ = std::move(server).value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~VersionDaemon()
  {
    context_.stop();
    thread_.join();
  }

  VersionDaemon(const VersionDaemon&) = delete;
  VersionDaemon& operator=(const VersionDaemon&) = delete;

  std::atomic<std::uint64_t> version{ 0 };

private:
  asio::io_context context_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_VERSIONDAEMON_H
