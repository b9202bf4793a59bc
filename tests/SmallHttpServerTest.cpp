#include "http/SmallHttpServer.h"
#include "support/BusyThread.h"
#include "support/RawCaller.h"

#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr auto kTimeout = 300ms;
// Within the timeout; twice this time exceeds it.
constexpr auto kPause = 200ms;
constexpr const char* kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/** A server whose answers come kPause after their requests. */
class LateServer
{
public:
  explicit LateServer(std::string aBody = "late")
    : body_(std::move(aBody))
  {
    server_ =
      SmallHttpServer::Make(
        context_,
        { "127.0.0.1", 0 },
        [this](const HttpMessage&, SmallHttpServer::Responder aRespond) {
          AnswerLater(std::move(aRespond));
        },
        kTimeout)
        .value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~LateServer()
  {
    context_.stop();
    thread_.join();
  }

  std::uint16_t Port() const { return server_->Port(); }
  asio::io_context& Context() { return context_; }

private:
  void AnswerLater(SmallHttpServer::Responder aRespond)
  {
    timer_.expires_after(kPause);
    timer_.async_wait(
      [this, respond = std::move(aRespond)](const asio::error_code& aError) {
        if (!aError) {
          HttpMessage answer;
          answer.head.status = 200;
          answer.body = body_;
          respond(std::move(answer));
        }
      });
  }

  const std::string body_;
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work_{
    context_.get_executor()
  };
  asio::steady_timer timer_{ context_ };
  std::unique_ptr<SmallHttpServer> server_;
  std::thread thread_;
};

} // namespace

// Guards against closing a connection for its idle timeout while its request
// is being answered.
TEST_CASE("small http server: an idle timeout does not end a later request")
{
  LateServer server;
  RawCaller caller(server.Port());
  std::this_thread::sleep_for(kPause);
  caller.Send(kRequest);
  CHECK(caller.ReadUntil("late").find("late") != std::string::npos);
}

// Guards against the same if the timeout and the request are met in one step.
TEST_CASE("small http server: a request read at the idle timeout is answered")
{
  LateServer server;
  RawCaller caller(server.Port());
  caller.Send(kRequest);
  REQUIRE(caller.ReadUntil("late").find("late") != std::string::npos);
  KeepBusy(server.Context(), kTimeout + 100ms);
  std::this_thread::sleep_for(kPause);
  caller.Send(kRequest);
  CHECK(caller.ReadUntil("late").find("late") != std::string::npos);
}

// Guards against keeping connections open that are idle for too long.
TEST_CASE("small http server: an idle connection is closed at its timeout")
{
  LateServer server;
  RawCaller caller(server.Port());
  caller.Send(kRequest);
  REQUIRE(caller.ReadUntil("late").find("late") != std::string::npos);
  CHECK(caller.ReadToEnd(2 * kTimeout).empty());
  CHECK(caller.Closed());
}

// Guards against keeping an answer in memory whose caller does not read it.
TEST_CASE("small http server: an answer that nobody reads ends its connection")
{
  const std::size_t size = 32U << 20U;
  LateServer server(std::string(size, 'x'));
  RawCaller caller(server.Port());
  caller.Send(kRequest);
  std::this_thread::sleep_for(kPause + 2 * kTimeout);
  CHECK(caller.ReadToEnd().size() < size);
  CHECK(caller.Closed());
}
