#ifndef TESTS_SUPPORT_TESTTARGET_H
#define TESTS_SUPPORT_TESTTARGET_H

#include "net/HttpServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace lacewing {

/** A target on its own thread whose handler the test supplies. */
class TestTarget
{
public:
  explicit TestTarget(HttpHandler aHandler)
  {
    HttpServerOptions options;
    options.endpoint = { "127.0.0.1", 0 };
    auto server = HttpServer::Make(
      context_,
      options,
      [this, handler = std::move(aHandler)](
        HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
        ++runs_;
        handler(std::move(aRequest), std::move(aResponder));
      });
    REQUIRE(server);
    server_ = std::move(server).value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TestTarget()
  {
    context_.stop();
    thread_.join();
  }

  Endpoint Address() const { return { "127.0.0.1", server_->Port() }; }
  int Runs() const { return runs_; }
  asio::io_context& Context() { return context_; }

private:
  asio::io_context context_;
  std::unique_ptr<HttpServer> server_;
  std::atomic<int> runs_{ 0 };
  std::thread thread_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_TESTTARGET_H
