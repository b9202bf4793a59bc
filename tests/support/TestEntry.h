#ifndef TESTS_SUPPORT_TESTENTRY_H
#define TESTS_SUPPORT_TESTENTRY_H

#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "entry/EntryServer.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

namespace lacewing {

/** Settings for one service "s" whose targets are all warm. */
inline EntrySettings StaticSettings(const std::vector<Endpoint>& aTargets)
{
  EntrySettings settings;
  settings.host = HostId("e1");
  settings.zone = ZoneId("z");
  settings.callers = { "127.0.0.1", 0 };
  settings.admin = { "127.0.0.1", 0 };
  settings.drainDelay = std::chrono::milliseconds(0);
  auto service = std::make_shared<ServiceConfig>();
  service->id = ServiceId("s");
  service->slots = SlotCount(64);
  service->connections = ConnectionCount(1000);
  service->deadline = std::chrono::milliseconds(3000);
  for (const Endpoint& endpoint : aTargets) {
    TargetConfig target;
    target.id = TargetId("t" + std::to_string(service->targets.size()));
    target.endpoint = endpoint;
    target.zone = ZoneId("z");
    service->targets.push_back(target);
  }
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion(1);
  configuration->zones[ZoneId("z")].id = ZoneId("z");
  configuration->services[service->id] = service;
  settings.fixed = configuration;
  return settings;
}

/** An entryd whose control thread is a thread of the test. */
class TestEntry
{
public:
  explicit TestEntry(const EntrySettings& aSettings)
  {
    StartLogging(LogLevel::kError);
    auto server = EntryServer::Make(clock_, aSettings);
    REQUIRE(server);
    server_ = std::move(server).value();
    thread_ = std::thread([this] { allAnswered_ = server_->Run(); });
  }

  ~TestEntry() { Stop(); }

  void BeginStop() { server_->Stop(); }

  /** Returns whether every open request was answered. */
  bool Stop()
  {
    if (thread_.joinable()) {
      server_->Stop();
      thread_.join();
    }
    return allAnswered_;
  }

  Endpoint Callers() const { return { "127.0.0.1", server_->CallerPort() }; }
  Endpoint Admin() const { return { "127.0.0.1", server_->AdminPort() }; }

private:
  MonotonicClock clock_;
  std::unique_ptr<EntryServer> server_;
  bool allAnswered_ = false;
  std::thread thread_;
};

/** A caller that waits for each answer. */
class TestCaller
{
public:
  HttpCallResult Call(HttpCall aCall)
  {
    std::optional<HttpCallResult> result;
    client_.Start(std::move(aCall), [&](HttpCallResult aResult) {
      result = std::move(aResult);
      context_.stop();
    });
    context_.restart();
    context_.run();
    REQUIRE(result);
    return *std::move(result);
  }

  HttpCallResult Get(const Endpoint& aEndpoint, const std::string& aTarget)
  {
    HttpCall call;
    call.endpoint = aEndpoint;
    call.target = aTarget;
    return Call(std::move(call));
  }

  asio::io_context& Context() { return context_; }
  HttpClient& Client() { return client_; }

private:
  asio::io_context context_;
  HttpClient client_{ context_, {} };
};

/** The value of a field, or "-". */
inline std::string FieldOf(const HttpCallResult& aResult, const char* aName)
{
  const std::string* value = aResult.response.fields.Find(aName);
  return value == nullptr ? "-" : *value;
}

} // namespace lacewing

#endif // TESTS_SUPPORT_TESTENTRY_H
