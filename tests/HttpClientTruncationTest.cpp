#include "net/HttpClient.h"
#include "support/ScriptedTarget.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace lacewing;

namespace {

HttpCallResult Run(asio::io_context& aContext,
                   HttpClient& aClient,
                   const HttpCall& aCall)
{
  std::optional<HttpCallResult> result;
  aClient.Start(aCall, [&](HttpCallResult aResult) {
    result = std::move(aResult);
    aContext.stop();
  });
  aContext.restart();
  aContext.run();
  REQUIRE(result);
  return *std::move(result);
}

/** The number of cut answers that were taken for whole ones. */
int CountWhole(const std::string& aMethod,
               const std::string& aAnswer,
               std::size_t aEnd,
               const char* aMarker)
{
  std::size_t cut = 0;
  ScriptedTarget target([&](int, const std::string&) {
    return std::string(aAnswer).insert(cut, aMarker);
  });
  asio::io_context context;
  HttpClient client(context, {});
  HttpCall call;
  call.endpoint = target.Address();
  call.method = aMethod;
  call.echo = HttpField{ "Lacewing-Request-Id", "r1" };
  call.fields.Add(call.echo->name, call.echo->value);
  int whole = 0;
  for (cut = 1; cut < aEnd; ++cut) {
    whole += Run(context, client, call).end == HttpCallEnd::kAnswered ? 1 : 0;
  }
  return whole;
}

} // namespace

// Guards against an answer that a target stopped writing in the middle, framed
// as a whole one: libcurl reports success for a head without its empty line.
TEST_CASE("a cut answer is never whole")
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
    // Without its last line feed: libcurl needs no more than the "\r" that
    // ends the trailer, behind which nothing of the answer can be missing.
    { "POST",
      "HTTP/1.1 200 OK\r\n" + id +
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r" },
    { "POST", "HTTP/1.1 200 OK\r\n" + id + "X-Field: 1\r\n\r\n" },
    { "POST", "HTTP/1.1 204 No Content\r\n" + id + "X-Field: 1\r\n\r\n" },
    { "GET", "HTTP/1.1 304 Not Modified\r\n" + id + "X-Field: 1\r\n\r\n" },
    { "HEAD", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\n" },
    { "POST",
      "HTTP/1.1 100 Continue\r\n" + id +
        "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + id +
        "Content-Length: 0\r\n\r\n" },
  };
  for (const Answer& answer : answers) {
    for (const char* marker :
         { ScriptedTarget::kCloseMarker, ScriptedTarget::kResetMarker }) {
      CAPTURE(answer.bytes);
      CAPTURE(*marker == *ScriptedTarget::kResetMarker);
      CHECK(CountWhole(
              answer.method, answer.bytes, answer.bytes.size(), marker) == 0);
    }
  }
}

// Guards against a field that stands only in the trailer, and counts as if it
// stood in the head; libcurl hands both over in the same way.
TEST_CASE("a trailer does not join the head")
{
  ScriptedTarget target([](int, const std::string&) {
    return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\nT: t\r\nU: u\r\n\r\n");
  });
  asio::io_context context;
  HttpClient client(context, {});
  HttpCall call;
  call.endpoint = target.Address();
  const HttpCallResult result = Run(context, client, call);
  CHECK(result.end == HttpCallEnd::kAnswered);
  CHECK(result.response.body == "body");
  CHECK(result.response.fields.Find("T") == nullptr);
}

// Guards against a body behind a status that has none.
TEST_CASE("a body of a 204 or 304 is no part of the answer")
{
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    CAPTURE(status);
    ScriptedTarget target([status](int, const std::string&) {
      return std::string("HTTP/1.1 ") + status +
             "\r\nContent-Length: 6\r\n\r\nunsent";
    });
    asio::io_context context;
    HttpClient client(context, {});
    HttpCall call;
    call.endpoint = target.Address();
    const HttpCallResult result = Run(context, client, call);
    CHECK(result.end == HttpCallEnd::kAnswered);
    CHECK(result.response.body.empty());
  }
}

// Guards against a part of an answer that is taken as the whole when the target
// resets the connection during an upload. The answer must state its length.
TEST_CASE("an answer to an upload that a reset cut is lost")
{
  ScriptedTarget target(
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\n\r\n0123456789") +
             ScriptedTarget::kResetMarker;
    },
    ScriptedTarget::ReadsFirst::kHead);
  asio::io_context context;
  HttpClient client(context, {});
  HttpCall call;
  call.endpoint = target.Address();
  call.method = "POST";
  call.body = std::make_shared<const std::string>(8U << 20U, 'u');
  for (int i = 0; i < 20; ++i) {
    CHECK(Run(context, client, call).end == HttpCallEnd::kLost);
  }
}
