#include "catalog/CatalogReplica.h"
#include "core/MonotonicClock.h"
#include "fleet/CatalogPullServer.h"
#include "fleet/PeerCodec.h"
#include "fleet/RolloutDatagrams.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

PeerHeartbeat Heartbeat()
{
  PeerHeartbeat heartbeat;
  heartbeat.from = { HostId("host-1234"), ZoneId("zone-b"), "10.0.0.9", 9 };
  heartbeat.incarnation = Incarnation(1'700'000'000'000'000ULL);
  heartbeat.positions.resize(4, { StoreEra(3), Revision(123'456'789) });
  heartbeat.zones = { { ZoneId("zone-b"), 24, 1, true, 0ms } };
  return heartbeat;
}

OrderId Order(int aNumber)
{
  return { ServiceId("service-" + std::to_string(aNumber)),
           Revision(123'456),
           ServiceVersion("2026.12.06-1") };
}

RolloutEvidence Evidence(int aNumber)
{
  RolloutEvidence evidence;
  evidence.order = Order(aNumber);
  evidence.hosts = 24;
  evidence.requests = 123'456;
  evidence.newAttempts = 12'345;
  evidence.oldInFlight = 300;
  for (std::uint32_t i = 0; i <= RolloutEvidence::kMaxRoutes; ++i) {
    evidence.routes.push_back({ 0xFFFF0000 + i, 123'456, 12'345, 9876, 543 });
  }
  evidence.age = 700ms;
  return evidence;
}

RolloutDirective Directive(int aNumber)
{
  RolloutDirective directive;
  directive.order = Order(aNumber);
  directive.step = 3;
  directive.shareBasisPoints = 2500;
  directive.age = 200ms;
  directive.elapsed = 9s;
  return directive;
}

} // namespace

// Guards against datagrams that IP divides, which are lost far more often, and
// against entries that are lost when a message is divided.
TEST_CASE("rollout message: entries are divided among small datagrams")
{
  std::vector<RolloutEvidence> evidence;
  std::vector<RolloutDirective> directives;
  for (int i = 0; i < 20; ++i) {
    evidence.push_back(Evidence(i));
    directives.push_back(Directive(i));
  }
  std::size_t evidenceRead = 0;
  std::size_t directivesRead = 0;
  for (const std::string& datagram :
       EncodeRollouts(Heartbeat(), evidence, directives)) {
    CHECK(datagram.size() <= kMaxDatagram);
    const auto heartbeat = DecodeHeartbeat(datagram);
    REQUIRE(heartbeat);
    for (const RolloutEvidence& each : heartbeat.value().evidence) {
      CHECK(each.order == Order(static_cast<int>(evidenceRead++)));
      CHECK(each.routes.size() == RolloutEvidence::kMaxRoutes + 1);
      CHECK(each.routes[2].newBad == 543);
      CHECK(each.age == 700ms);
    }
    for (const RolloutDirective& each : heartbeat.value().directives) {
      CHECK(each.order == Order(static_cast<int>(directivesRead++)));
      CHECK(each.shareBasisPoints == 2500);
      CHECK(each.elapsed == 9s);
    }
  }
  CHECK(evidenceRead == 20);
  CHECK(directivesRead == 20);
  CHECK(EncodeRollouts(Heartbeat(), {}, {}).empty());
}

// Guards against heartbeats that hosts of an earlier release refuse, and
// against refusing theirs.
TEST_CASE("rollout message: heartbeats without rollouts are as before")
{
  const std::string bytes = EncodeHeartbeat(Heartbeat());
  const auto json = nlohmann::json::from_cbor(bytes);
  CHECK(json.count("e") == 0);
  CHECK(json.count("d") == 0);
  CHECK(json.size() == 10);
  CHECK(DecodeHeartbeat(bytes).value().evidence.empty());
}

// Guards against hosts that follow rollouts and others, of an earlier release
// or with other settings, refusing each other's pulls.
TEST_CASE("rollout message: a pull has as many kinds as its request")
{
  asio::io_context context;
  const MonotonicClock clock;
  CatalogPullServer server;
  CatalogReplica replica;
  CatalogChanges orders;
  orders.position = { StoreEra(1), Revision(9) };
  orders.items.push_back({ "s", orders.position, false, "{}", {}, false });
  replica.Apply(CatalogKind::kRollout, orders);
  const auto pull = [&](const std::string& aPositions) {
    HttpMessage request;
    request.head.target = "/catalog?after=" + aPositions;
    return server.HandleRequest(request, replica);
  };
  const auto partsOf = [](const HttpMessage& aResponse) {
    return DecodePullResponse(aResponse.body).value().parts;
  };
  CHECK(partsOf(pull("0.0,0.0,0.0")).size() == 3);
  REQUIRE(partsOf(pull("0.0,0.0,0.0,0.0")).size() == 4);
  CHECK(partsOf(pull("0.0,0.0,0.0,0.0"))[3].items.size() == 1);
  CHECK(pull("0.0,0.0").head.status == 400);
  CHECK(pull("0.0,0.0,0.0,0.0,0.0").head.status == 400);
}
