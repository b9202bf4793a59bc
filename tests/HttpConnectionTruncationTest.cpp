#include "core/MonotonicClock.h"
#include "http/HttpConnection.h"
#include "support/ScriptedTarget.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace lacewing;

namespace {

/** How a request ends whose answer is cut after aCut bytes. */
ExchangeEnd EndOf(const std::string& aMethod,
                  const std::string& aAnswer,
                  std::size_t aCut,
                  const char* aMarker)
{
  ScriptedTarget target([&](int, const std::string&) {
    return std::string(aAnswer).insert(aCut, aMarker);
  });
  asio::io_context context;
  MonotonicClock clock;
  ConnectionOptions options;
  options.endpoint = target.Address();
  HttpConnection connection(context, options, clock);
  OutgoingRequest request;
  request.head.method = aMethod;
  request.head.target = "/";
  std::optional<ExchangeEnd> end;
  connection.Send(std::move(request),
                  [&](const ExchangeResult& aResult) { end = aResult.end; });
  context.run();
  REQUIRE(end);
  return *end;
}

/**
 * How an upload ends that is answered with aAnswer once its head is read. With
 * aReadsBetween, ReadArrived() is called after each handler.
 */
ExchangeEnd EndOfUpload(const std::string& aAnswer, bool aReadsBetween)
{
  ScriptedTarget target([&](int, const std::string&) { return aAnswer; },
                        ScriptedTarget::ReadsFirst::kHead);
  asio::io_context context;
  MonotonicClock clock;
  ConnectionOptions options;
  options.endpoint = target.Address();
  HttpConnection connection(context, options, clock);
  OutgoingRequest request;
  request.head.method = "POST";
  request.head.target = "/";
  // More than the buffers of both sockets hold.
  request.body = std::make_shared<const std::string>(8U << 20U, 'u');
  std::optional<ExchangeEnd> end;
  connection.Send(std::move(request),
                  [&](const ExchangeResult& aResult) { end = aResult.end; });
  while (!end) {
    context.run_one();
    if (aReadsBetween) {
      connection.ReadArrived();
    }
  }
  return *end;
}

} // namespace

// Guards against an answer that a target stopped writing in the middle, framed
// as a whole one.
TEST_CASE("http connection: a cut answer is never whole")
{
  const std::string id = "Lacewing-Request-Id: r1\r\n";
  struct Answer
  {
    const char* method;
    std::string bytes;
  };
  const std::vector<Answer> answers = {
    { "POST", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n" },
    { "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + id + "\r\n" },
    { "POST", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody" },
    { "POST",
      "HTTP/1.1 200 OK\r\n" + id +
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" },
    { "POST", "HTTP/1.1 200 OK\r\n" + id + "X-Field: 1\r\n\r\n" },
    { "POST", "HTTP/1.1 204 No Content\r\n" + id + "X-Field: 1\r\n\r\n" },
    { "HEAD", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\n" },
    { "POST",
      "HTTP/1.1 100 Continue\r\n" + id + "\r\nHTTP/1.1 200 OK\r\n" + id +
        "Content-Length: 0\r\n\r\n" },
  };
  for (const Answer& answer : answers) {
    for (const char* marker :
         { ScriptedTarget::kCloseMarker, ScriptedTarget::kResetMarker }) {
      int whole = 0;
      for (std::size_t cut = 1; cut < answer.bytes.size(); ++cut) {
        const ExchangeEnd end = EndOf(answer.method, answer.bytes, cut, marker);
        whole += end == ExchangeEnd::kAnswered ? 1 : 0;
      }
      CAPTURE(answer.bytes);
      CAPTURE(*marker == *ScriptedTarget::kResetMarker);
      CHECK(whole == 0);
    }
  }
}

// Guards against a body without a length that a reset cut short: only an
// orderly close ends it.
TEST_CASE("http connection: a reset ends no body without a length")
{
  const std::string answer = "HTTP/1.1 200 OK\r\nLacewing-Request-Id: r1\r\n"
                             "\r\nbody";
  CHECK(EndOf("GET", answer, answer.size(), ScriptedTarget::kCloseMarker) ==
        ExchangeEnd::kAnswered);
  const std::size_t head = answer.find("body");
  for (std::size_t cut = head; cut <= answer.size(); ++cut) {
    CAPTURE(cut);
    CHECK(EndOf("GET", answer, cut, ScriptedTarget::kResetMarker) ==
          ExchangeEnd::kLost);
  }
}

// Guards against a body without a length that is taken as whole because a write
// was the first to report the reset: Linux then reads the end of the connection
// like an orderly close. ReadArrived() reads the end before the write's handler
// has run.
TEST_CASE("http connection: a reset that a write has reported ends no body")
{
  const std::string answer = "HTTP/1.1 200 OK\r\nLacewing-Request-Id: r1\r\n"
                             "\r\n0123456789";
  for (const bool readsBetween : { false, true }) {
    for (const char* marker :
         { ScriptedTarget::kResetMarker, ScriptedTarget::kCloseMarker }) {
      CAPTURE(readsBetween);
      CAPTURE(*marker == *ScriptedTarget::kResetMarker);
      for (int i = 0; i < 20; ++i) {
        CHECK(EndOfUpload(answer + marker, readsBetween) == ExchangeEnd::kLost);
      }
    }
  }
}

// Guards against a whole answer without a length that is refused because the
// request is still being written.
TEST_CASE("http connection: an orderly end during an upload ends a body")
{
  const std::string answer = "HTTP/1.1 200 OK\r\nLacewing-Request-Id: r1\r\n"
                             "\r\n0123456789";
  for (const bool readsBetween : { false, true }) {
    CAPTURE(readsBetween);
    CHECK(EndOfUpload(answer + ScriptedTarget::kEndMarker, readsBetween) ==
          ExchangeEnd::kAnswered);
  }
}
