#include "config/ConfigEncoder.h"
#include "net/MessageServer.h"
#include "support/TestEntry.h"
#include "support/TestTarget.h"
#include "wire/ConfigMessage.h"
#include "wire/GrantMessage.h"
#include "wire/GrantReturnMessage.h"
#include "wire/GrantWantMessage.h"
#include "wire/HelloMessage.h"
#include "wire/TargetReportMessage.h"
#include "wire/TargetStateMessage.h"
#include "wire/WireMessage.h"

#include <asio/post.hpp>

#include <map>
#include <mutex>

using namespace lacewing;

namespace {

/** A controld that sends what the test wants. */
class FakeControld
{
public:
  FakeControld()
  {
    auto server = MessageServer::Make(
      context_,
      { "127.0.0.1", 0 },
      { [this](ConnectionId aConnection) { Greet(aConnection); },
        [this](ConnectionId, const nlohmann::json& aFrame) { Take(aFrame); },
        [](ConnectionId) {},
        [](ConnectionId, const Error&) {} });
    REQUIRE(server);
    server_ = std::move(server).value();
    port_ = server_->Port();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~FakeControld()
  {
    context_.stop();
    thread_.join();
  }

  template<class Message>
  void Send(const Message& aMessage)
  {
    asio::post(context_, [this, frame = EncodeMessage(aMessage)] {
      server_->Send(connection_, frame);
    });
  }

  /** Sends the objects of a version in one or two parts. */
  void SendConfig(const Configuration& aConfiguration, bool aComplete = true)
  {
    ConfigHead head;
    head.version = aConfiguration.version - ConfigVersion(1);
    const auto encoded =
      EncodeConfig(aConfiguration, head, WriteToken("0123456789abcdef"));
    REQUIRE(encoded);
    ConfigMessage first;
    first.version = aConfiguration.version;
    for (const auto& [name, entry] : encoded.value().head.entries) {
      first.entries.push_back({ name.value(), entry.hash.value() });
    }
    ConfigMessage second;
    second.version = aConfiguration.version;
    second.part = 1;
    second.last = true;
    for (const auto& [name, bytes] : encoded.value().blobs) {
      second.blobs.push_back({ name.value(), WireBytes(bytes) });
    }
    Send(first);
    if (aComplete) {
      Send(second);
    }
  }

  void SendPhase(const char* aTarget, Epoch aEpoch, TargetPhase aPhase)
  {
    TargetStateMessage message;
    message.targets = { { TargetId(aTarget), aEpoch, aPhase } };
    Send(message);
  }

  /** Waits until a frame of that kind came and returns the last one. */
  nlohmann::json Await(const char* aKind)
  {
    for (int i = 0; i < 300; ++i) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (frames_.count(aKind) != 0) {
          return frames_[aKind];
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL("no frame of kind ", std::string(aKind));
    return {};
  }

  void Forget(const char* aKind)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames_.erase(aKind);
  }

  void Disconnect()
  {
    asio::post(context_, [this] { server_->Disconnect(connection_); });
  }

  Endpoint Address() const { return { "127.0.0.1", port_ }; }
  std::string deployment = "d";

private:
  void Greet(ConnectionId aConnection)
  {
    connection_ = aConnection;
    HelloMessage hello;
    hello.role = WireRole::kControl;
    hello.deployment = deployment;
    server_->Send(aConnection, EncodeMessage(hello));
  }

  void Take(const nlohmann::json& aFrame)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames_[WireKind(aFrame).value()] = aFrame;
  }

  asio::io_context context_;
  std::unique_ptr<MessageServer> server_;
  ConnectionId connection_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::map<std::string, nlohmann::json> frames_;
  std::thread thread_;
};

EntrySettings ControldSettings(const FakeControld& aControld)
{
  EntrySettings settings = StaticSettings({});
  settings.fixed = nullptr;
  settings.deployment = "d";
  settings.controld = aControld.Address();
  return settings;
}

Configuration Config(std::uint64_t aVersion,
                     const std::vector<Endpoint>& aTargets)
{
  Configuration configuration = *StaticSettings(aTargets).fixed;
  configuration.version = ConfigVersion(aVersion);
  return configuration;
}

/** The status of a request once it is aStatus, or the last one seen. */
int AwaitStatus(TestCaller& aCaller, const Endpoint& aEntry, int aStatus)
{
  int status = 0;
  for (int i = 0; i < 200 && status != aStatus; ++i) {
    HttpCall call;
    call.endpoint = aEntry;
    call.target = "/s/x";
    status = aCaller.Call(call).response.status;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return status;
}

bool AwaitReady(TestCaller& aCaller, const Endpoint& aAdmin)
{
  for (int i = 0; i < 300; ++i) {
    if (aCaller.Get(aAdmin, "/ready").response.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

void Answer299(const HttpRequest&, const std::shared_ptr<HttpResponder>& aTo)
{
  HttpResponse response;
  response.status = 299;
  response.fields.Add("Target-Instance", "i");
  aTo->Send(std::move(response));
}

} // namespace

// Guards against an incomplete or older configuration coming into force, and
// against entryd losing its snapshot with the connection to controld.
TEST_CASE("only complete and newer configurations come into force")
{
  TestTarget target(&Answer299);
  FakeControld controld;
  TestEntry entry(ControldSettings(controld));
  TestCaller caller;
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 503);
  CHECK(caller.Get(entry.Admin(), "/ready").response.status == 503);
  controld.Await("config_want");
  controld.SendPhase("t0", Epoch(1), TargetPhase::kWarm);
  controld.SendConfig(Config(5, { target.Address() }));
  CHECK(AwaitStatus(caller, entry.Callers(), 299) == 299);
  CHECK(caller.Get(entry.Admin(), "/ready").response.status == 200);

  controld.SendConfig(Config(6, {}), false);
  controld.SendConfig(Config(4, {}));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 299);
  controld.Disconnect();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 299);
  const nlohmann::json report = controld.Await("target_report");
  CHECK(report["targets"][0]["instance"] == "i");

  // The connection is back. A set that lacks its objects is asked for again,
  // and a complete one still comes into force.
  controld.Await("config_want");
  ConfigMessage empty;
  empty.version = ConfigVersion(8);
  empty.last = true;
  empty.entries = { { "service/s", std::string(32, '0') } };
  controld.Forget("config_want");
  controld.Send(empty);
  CHECK(controld.Await("config_want")["version"] == 5);
  controld.SendConfig(Config(7, {}));
  CHECK(AwaitStatus(caller, entry.Callers(), 503) == 503);
}

// Guards against work for a cold target without a grant, and against grants
// that are not asked for, not used or not given back.
TEST_CASE("a cold target gets work only under a grant")
{
  TestTarget target(&Answer299);
  FakeControld controld;
  TestEntry entry(ControldSettings(controld));
  controld.Await("config_want");
  controld.SendConfig(Config(1, { target.Address() }));
  TestCaller caller;
  CHECK(AwaitReady(caller, entry.Admin()));
  // Waits at the entry host for a grant, which never comes.
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 503);
  CHECK(target.Runs() == 0);
  const auto want =
    DecodeMessage<GrantWantMessage>(controld.Await("grant_want"));
  REQUIRE(want);
  const GrantWantEntry& asked = want.value().grants.at(0);
  CHECK(asked.target == TargetId("t0"));
  std::thread granter([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    const auto latest =
      DecodeMessage<GrantWantMessage>(controld.Await("grant_want"));
    GrantEntry grant;
    grant.id = GrantId(1);
    grant.host = asked.host;
    grant.incarnation = asked.incarnation;
    grant.target = asked.target;
    grant.slots = SlotCount(1);
    grant.sent = latest.value().grants.at(0).sent;
    grant.time = std::chrono::seconds(1);
    GrantMessage message;
    message.grants = { grant };
    controld.Send(message);
  });
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 299);
  granter.join();
  CHECK(target.Runs() == 1);
  const auto given =
    DecodeMessage<GrantReturnMessage>(controld.Await("grant_return"));
  REQUIRE(given);
  CHECK(given.value().grants.at(0).lastGrant == GrantId(1));
}

// Guards against a controld of another deployment steering this entryd.
TEST_CASE("a controld of another deployment is refused")
{
  FakeControld controld;
  controld.deployment = "other";
  TestEntry entry(ControldSettings(controld));
  controld.Await("hello");
  controld.SendConfig(Config(1, {}));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  TestCaller caller;
  CHECK(caller.Get(entry.Admin(), "/ready").response.status == 503);
}
