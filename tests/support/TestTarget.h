#ifndef TESTS_SUPPORT_TESTTARGET_H
#define TESTS_SUPPORT_TESTTARGET_H

#include "net/HttpServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace lacewing {

/** Adds the request's id to its answer, as targets have to. */
class EchoingResponder final : public HttpResponder
{
public:
  EchoingResponder(std::shared_ptr<HttpResponder> aNext, std::string aId)
    : next_(std::move(aNext))
    , id_(std::move(aId))
  {
  }

  using HttpResponder::Send;

  void Send(HttpResponse aResponse, std::shared_ptr<const void> aKept) override
  {
    aResponse.fields.Set("Lacewing-Request-Id", id_);
    next_->Send(std::move(aResponse), std::move(aKept));
  }
  void Drop() override { next_->Drop(); }
  void SendTwice(const HttpResponse& aResponse,
                 std::chrono::milliseconds aPause) override
  {
    next_->SendTwice(aResponse, aPause);
  }
  void OnGone(std::function<void()> aHandler) override
  {
    next_->OnGone(std::move(aHandler));
  }

private:
  std::shared_ptr<HttpResponder> next_;
  std::string id_;
};

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
        if (const std::string* id =
              aRequest.fields.Find("Lacewing-Request-Id")) {
          aResponder =
            std::make_shared<EchoingResponder>(std::move(aResponder), *id);
        }
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
