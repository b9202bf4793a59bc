#include "support/TestGateway.h"

#include <atomic>
#include <thread>

using namespace lacewing;

namespace {

using SteadyClock = std::chrono::steady_clock;

/**
 * A target that answers probes and then sends a request's answer without end:
 * aStart once and aPiece until the gateway closes the connection.
 */
class EndlessTarget
{
public:
  EndlessTarget(std::string aStart, std::string aPiece)
    : start_(std::move(aStart))
    , piece_(std::move(aPiece))
    , acceptor_(context_, { asio::ip::address_v4::loopback(), 0 })
  {
    thread_ = std::thread([this] { AcceptAll(); });
  }

  ~EndlessTarget()
  {
    stopping_ = true;
    asio::error_code ignored;
    asio::ip::tcp::socket wake(context_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (std::thread& thread : connections_) {
      thread.join();
    }
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  std::size_t Sent() const { return sent_; }
  int ClosedByPeer() const { return closed_; }

private:
  void AcceptAll()
  {
    while (!stopping_) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
      acceptor_.accept(*socket);
      connections_.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(asio::ip::tcp::socket& aSocket)
  {
    std::string received;
    asio::error_code error;
    while (!stopping_) {
      const std::size_t size = asio::read_until(
        aSocket, asio::dynamic_buffer(received), "\r\n\r\n", error);
      if (error) {
        return;
      }
      const bool probe = received.rfind("GET /health ", 0) == 0;
      received.erase(0, size);
      if (!probe) {
        Stream(aSocket);
        return;
      }
      asio::write(
        aSocket,
        asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                 "Test-Load: 0,0,6,100\r\n\r\n")),
        error);
    }
  }

  void Stream(asio::ip::tcp::socket& aSocket)
  {
    asio::error_code error;
    sent_ += asio::write(aSocket, asio::buffer(start_), error);
    while (!error && !stopping_) {
      sent_ += asio::write(aSocket, asio::buffer(piece_), error);
    }
    closed_ += error ? 1 : 0;
  }

  const std::string start_;
  const std::string piece_;
  std::atomic<std::size_t> sent_{ 0 };
  std::atomic<int> closed_{ 0 };
  std::atomic<bool> stopping_{ false };
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

struct EndlessCase
{
  const char* name;
  std::string start;
  std::string piece;
};

std::vector<EndlessCase> EndlessCases()
{
  const std::string block(16384, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\n"
                         "Test-Signature: s\r\n";
  return {
    { "no answer at all", "", block },
    { "a field without end", ok + "X-Long: ", block },
    { "fields without end", ok, "X-More: yes\r\n" },
    { "a body without a length", ok + "\r\n", block },
    { "chunks without end",
      ok + "Transfer-Encoding: chunked\r\n\r\n",
      "4000\r\n" + block + "\r\n" },
    { "a chunk extension without end",
      ok + "Transfer-Encoding: chunked\r\n\r\n4;x=",
      block },
    { "trailers without end",
      ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-More: yes\r\n" },
    { "interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "answers to other requests without end",
      "",
      "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 0\r\n\r\n" },
  };
}

// An answer may have 16 MiB; what the kernel buffers comes on top.
constexpr std::size_t kMaxSent = 40U << 20U;

} // namespace

// Guards against a target whose bytes never end: memory and time at its
// connection are bounded, and the failure promises nothing.
TEST_CASE("gateway: bytes without end cost one connection")
{
  for (const EndlessCase& each : EndlessCases()) {
    CAPTURE(each.name);
    EndlessTarget target(each.start, each.piece);
    TestGateway gateway(target.Address(), kPatientObjective);
    const auto begin = SteadyClock::now();
    CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
    CHECK(SteadyClock::now() - begin < std::chrono::seconds(2));
    for (int i = 0; i < 100 && target.ClosedByPeer() == 0; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(target.ClosedByPeer() == 1);
    CHECK(target.Sent() < kMaxSent);
  }
}

// Guards against many such targets at a time, whose answers together exceed
// the host's memory, and against callers that suffer from them.
TEST_CASE("gateway: bodies without end share one limit of memory")
{
  const std::string block(16384, 'x');
  EndlessTarget endless("HTTP/1.1 200 OK\r\nTest-Id: r\r\n"
                        "Test-Signature: s\r\n\r\n",
                        block);
  constexpr ByteCount kLimit{ 4U << 20U };
  TestGateway gateway(endless.Address(), kPatientObjective, kLimit);
  std::vector<std::unique_ptr<RawCaller>> callers;
  constexpr int kCallers = 20;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(gateway.Port()));
    callers.back()->Send(TestGateway::Request(
      "POST", "/once/x", "r", "b", "Connection: close\r\n"));
  }
  for (const auto& caller : callers) {
    CHECK(StatusOf(caller->ReadToEnd()) / 100 == 5);
  }
  // The kernel holds some megabytes a connection that were never read.
  CHECK(endless.Sent() < kCallers * (8U << 20U));
  GatewayTarget sound(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  gateway.ConfigureEndpoints({ endless.Address(), sound.Address() });
  CHECK(StatusOf(gateway.Call("GET", "/safe/x", "after")) == 200);
}

// Guards against targets of one service that send long answers, pause, and so
// hold the memory for all bodies until the routes' timeouts, while requests to
// other services are refused.
TEST_CASE("gateway: one service's answers leave memory for other requests")
{
  constexpr ByteCount kLimit{ 40U << 20U };
  constexpr std::size_t kSent = 15U << 20U;
  GatewayTarget pausing([](const std::string& aId, int) {
    return "HTTP/1.1 200 OK\r\nTest-Id: " + aId +
           "\r\nTest-Signature: s\r\nContent-Length: " +
           std::to_string(kSent + 1) + "\r\n\r\n" + std::string(kSent, 'x');
  });
  TestGateway gateway(pausing.Address(), kPatientObjective, kLimit);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 2; ++i) {
    callers.push_back(std::make_unique<RawCaller>(gateway.Port()));
    callers.back()->Send(
      TestGateway::Request("POST", "/once/x", "r" + std::to_string(i), "b"));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  GatewayTarget sound(
    [](const std::string& aId, int) { return SignedResponse(aId, ""); });
  gateway.ConfigureEndpoints({ sound.Address() });
  gateway.SetCallerLimits(CallerLimits());
  const std::string body(12U << 20U, 'b');
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "after", body)) == 200);
}

// Guards against a target that keeps its answer alive with single bytes: the
// route's timeout ends it.
TEST_CASE("gateway: an answer of single bytes ends at the route's timeout")
{
  GatewayTarget slow([](const std::string&, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return std::string("H");
  });
  TestGateway gateway({ &slow }, std::chrono::milliseconds(400));
  const auto begin = SteadyClock::now();
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 504);
  CHECK(SteadyClock::now() - begin < std::chrono::milliseconds(900));
}
