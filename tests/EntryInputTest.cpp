#include "support/TestEntry.h"
#include "support/TestTarget.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

using namespace lacewing;

namespace {

void AnswerOk(const HttpRequest&, const std::shared_ptr<HttpResponder>& aTo)
{
  HttpResponse response;
  response.body = "ok";
  aTo->Send(std::move(response));
}

/** A caller that sends bytes of the test's choice. */
class RawCaller
{
public:
  explicit RawCaller(const Endpoint& aEntry)
  {
    socket_.connect({ asio::ip::make_address(aEntry.address), aEntry.port });
  }

  void Send(const std::string& aBytes)
  {
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(aBytes), ignored);
  }

  /** All that comes until the connection closes or nothing more comes. */
  std::string ReadAll(std::chrono::milliseconds aWait = std::chrono::seconds(2))
  {
    const auto wait = std::chrono::microseconds(aWait).count();
    timeval limit{ wait / 1000000, wait % 1000000 };
    setsockopt(
      socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t length = 0;
    while ((length = recv(
              socket_.native_handle(), buffer.data(), buffer.size(), 0)) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(length));
    }
    return text;
  }

private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_{ context_ };
};

std::string Head(std::size_t aLength)
{
  return "POST /s/x HTTP/1.1\r\nHost: e\r\nContent-Length: " +
         std::to_string(aLength) + "\r\n\r\n";
}

std::uint64_t Buffered(TestCaller& aCaller, const TestEntry& aEntry)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  const auto result = aCaller.Get(aEntry.Admin(), "/dump");
  const auto dump = nlohmann::json::parse(result.response.body);
  return dump["workers"][0]["buffered_bytes"].get<std::uint64_t>();
}

} // namespace

// Guards against a crash or a run of the target by broken requests, and
// against an entryd that serves nobody afterwards.
TEST_CASE("malformed requests reach no target and harm nobody")
{
  TestTarget target(&AnswerOk);
  TestEntry entry(StaticSettings({ target.Address() }));
  const std::vector<std::string> broken = {
    "\r\n\r\n\r\n",
    std::string(20000, 'A'),
    std::string("\0\1\2\3\r\n\r\n", 8),
    "GET http://e/s/x HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n",
    "GET /s/\x7f HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n",
    "POST /s/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST /s/x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "POST /s/x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "POST /s/x HTTP/1.1\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /s/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "CONNECT e:80 HTTP/1.1\r\nHost: e\r\n\r\n",
    "POST /s/x HTTP/1.1\r\nHost: e\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nContent-Length: 2\r\n\r\nab",
    "GET /s/x HTTP/1.1\r\n" + std::string(9000, 'n') + ": v\r\n\r\n",
    "GET /s/" + std::string(9000, 'p') + " HTTP/1.1\r\n\r\n",
    Head(100) + "short",
  };
  for (std::size_t i = 0; i < broken.size(); ++i) {
    CAPTURE(i);
    RawCaller caller(entry.Callers());
    caller.Send(broken[i]);
    if (i + 1 < broken.size()) {
      const std::string answer = caller.ReadAll();
      CHECK(answer.find(" 200 ") == std::string::npos);
      CHECK(answer.find("Lacewing-Outcome: ran") == std::string::npos);
    }
  }
  CHECK(target.Runs() == 0);
  TestCaller caller;
  CHECK(caller.Get(entry.Callers(), "/s/x").response.body == "ok");
}

// Guards against a caller that learns nothing from a closed connection and
// takes its request for lost.
TEST_CASE("a request that cannot be parsed is answered 400 as not run")
{
  TestTarget target(&AnswerOk);
  TestEntry entry(StaticSettings({ target.Address() }));
  for (const std::string& broken :
       { std::string("\0\1\2\3\r\n\r\n", 8),
         std::string("POST /s/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
         std::string("POST /s/x HTTP/1.1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
         "GET /s/x HTTP/1.1\r\n" + std::string(9000, 'n') + ": v\r\n\r\n" }) {
    RawCaller caller(entry.Callers());
    caller.Send(broken);
    const std::string answer = caller.ReadAll();
    CAPTURE(answer);
    CHECK(answer.find("HTTP/1.1 400 ") == 0);
    CHECK(answer.find("Lacewing-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("Lacewing-Reason: bad-request") != std::string::npos);
  }
  CHECK(target.Runs() == 0);
}

// Guards against memory that callers can take without bound by bodies that
// arrive slowly or never end.
TEST_CASE("bodies that are not whole stay within the memory limit")
{
  TestTarget target(&AnswerOk);
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.limits.maxBody = ByteCount(1U << 20U);
  settings.limits.maxAnswer = ByteCount(1U << 20U);
  settings.limits.maxBuffered = ByteCount(4U << 20U);
  TestEntry entry(settings);
  std::vector<std::unique_ptr<RawCaller>> callers;
  // Each sends all but the last bytes of 1 MiB.
  for (int i = 0; i < 12; ++i) {
    callers.push_back(std::make_unique<RawCaller>(entry.Callers()));
    callers.back()->Send(Head(1U << 20U) + std::string((1U << 20U) - 10, 'b'));
  }
  TestCaller caller;
  std::uint64_t held = 0;
  for (int i = 0; i < 40 && held <= 2U << 20U; ++i) {
    held = Buffered(caller, entry);
    CHECK(held <= 4U << 20U);
  }
  CHECK(held > 2U << 20U);
  // Four bodies fit at most; the others are told that they were not run.
  int refused = 0;
  for (const auto& sender : callers) {
    const std::string answer =
      sender->ReadAll(std::chrono::milliseconds(refused < 8 ? 1000 : 1));
    if (!answer.empty()) {
      ++refused;
      CHECK(answer.find("HTTP/1.1 503 ") == 0);
      CHECK(answer.find("Lacewing-Outcome: not-run") != std::string::npos);
    }
  }
  CHECK(refused >= 8);
  callers.clear();
  CHECK(Buffered(caller, entry) == 0);
  CHECK(caller.Get(entry.Callers(), "/s/x").response.body == "ok");
  CHECK(target.Runs() == 1);
}

// Guards against a stop that cuts off a request which is still arriving.
TEST_CASE("a stop waits for a request that has begun to arrive")
{
  TestTarget target(&AnswerOk);
  TestEntry entry(StaticSettings({ target.Address() }));
  RawCaller caller(entry.Callers());
  caller.Send(Head(4) + "ab");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  entry.BeginStop();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  caller.Send("cd");
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("Lacewing-Outcome: not-run") != std::string::npos);
  CHECK(answer.find("Lacewing-Reason: stopping") != std::string::npos);
  CHECK(entry.Stop());
}

// Guards against bodies that are held twice but counted once, and against
// work that is accepted although the memory for it is taken.
TEST_CASE("a request that finds the memory taken is refused as not run")
{
  std::vector<std::shared_ptr<HttpResponder>> held;
  TestTarget target(
    [&](const HttpRequest&, std::shared_ptr<HttpResponder> aTo) {
      held.push_back(std::move(aTo));
    });
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.limits.maxBody = ByteCount(1U << 20U);
  settings.limits.maxBuffered = ByteCount(5U << 20U);
  TestEntry entry(settings);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 2; ++i) {
    callers.push_back(std::make_unique<RawCaller>(entry.Callers()));
    callers.back()->Send(Head(1U << 20U) + std::string(1U << 20U, 'b'));
  }
  TestCaller caller;
  const std::uint64_t buffered = Buffered(caller, entry);
  CHECK(buffered >= 4U << 20U);
  CHECK(buffered <= 5U << 20U);
  HttpCall third;
  third.endpoint = entry.Callers();
  third.target = "/s/x";
  third.method = "POST";
  third.body = std::make_shared<const std::string>(900000, 'c');
  const HttpCallResult refused = caller.Call(third);
  CHECK(refused.response.status == 503);
  CHECK(FieldOf(refused, "Lacewing-Outcome") == "not-run");
  CHECK(FieldOf(refused, "Lacewing-Reason") == "overload");
  CHECK(FieldOf(refused, "Retry-After") == "1");
  CHECK(target.Runs() == 2);
  callers.clear();
  CHECK(Buffered(caller, entry) == 0);
  asio::post(target.Context(), [&] { held.clear(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
}
