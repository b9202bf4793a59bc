#include "balance/ColdQuota.h"
#include "balance/SplitCursor.h"
#include "balance/TargetChooser.h"
#include "balance/TargetObservations.h"
#include "fleet/PeerCodec.h"
#include "gateway/ProbeReading.h"
#include "http/MessageParser.h"
#include "platform/BootSettings.h"
#include "platform/ObjectDecoder.h"
#include "platform/PlatformNames.h"
#include "platform/ServerLoad.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace lacewing;
using namespace lacewing::platform;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1h };

/** What a probe reads that was answered with this cold time. */
LoadReading ReadingWith(const std::string& aColdLeft)
{
  const HeaderNames names = PlatformHeaders();
  ExchangeResult result;
  result.end = ExchangeEnd::kAnswered;
  result.answer.head.status = 200;
  result.answer.head.fields.Add(names.coldLeft, aColdLeft);
  return ReadProbe(result, names, TargetId("t"), kNow);
}

/** The expected response time of a target of three slots with this load. */
Duration ExpectedWith(const TargetLoad& aLoad, Duration aServiceTime)
{
  FleetTarget target;
  target.spec.slots = SlotCount(3);
  TargetObservations local;
  LoadReading reading;
  reading.state = ReadingState::kServing;
  reading.load = aLoad;
  reading.measuredAt = reading.probedAt = kNow;
  ChoiceContext context;
  context.now = kNow;
  context.usualServiceTime = aServiceTime;
  return MakeEarliestResponseChooser(1)
    ->Judge(context, { &target, &reading, &local, false })
    .expected;
}

} // namespace

// Guards against a target's cold time that makes peers refuse the heartbeats of
// the host that probes it, or that becomes another time by overflow.
TEST_CASE("odd number: a cold time out of range does not silence its host")
{
  const std::pair<const char*, bool> cases[] = {
    { "1500", true },
    { "1500.5", true },
    { "0", false },
    { "-1", false },
    { "-9223372036854775808", false },
    { "9223372036854775807", true },
    { "700000000000", true },
    { "100000000000000000000000000000", true },
    { "-100000000000000000000000000000", false },
    { "1e3", true },
    { "x", false },
    { "", false },
  };
  for (const auto& [text, cold] : cases) {
    CAPTURE(text);
    const LoadReading reading = ReadingWith(text);
    CHECK(reading.state == ReadingState::kServing);
    CHECK((reading.coldLeft > Duration(0)) == cold);
    PeerHeartbeat heartbeat;
    heartbeat.readings = { WireReading::From(reading, kNow) };
    CHECK(DecodeHeartbeat(EncodeHeartbeat(heartbeat)));
  }
}

// Guards against a load so high that its sum or the time computed from it
// overflows, which ranks the fullest target first.
TEST_CASE("odd number: a target with an odd load is not taken for an idle one")
{
  for (const char* text : { "4294967295,1,3",
                            "4294967295,4294967295,3,100",
                            "3000000000,0,3,4294967295",
                            "4294967296,0,3",
                            "100000000000000000000000000000,0,3,400" }) {
    CAPTURE(text);
    const auto load = ParseServerLoad(text);
    REQUIRE(load);
    CHECK(ExpectedWith(*load, 500ms) > ExpectedWith({ 3, 4, 3, 100 }, 500ms));
    CHECK(ExpectedWith(*load, 24h) > ExpectedWith({ 0, 0, 3, 100 }, 500ms));
  }
  for (const char* text : { "-1,0,3", "1e400,0,", ",,", "0x1,0", "3,-4,8" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseServerLoad(text));
  }
}

// Guards against a limit that becomes zero because it does not fit its type.
TEST_CASE("odd number: limits beyond their type are large, not zero")
{
  ColdStartLimits terms;
  terms.overshoot = 1.5;
  CHECK(ColdQuota(terms, 1e300, 0) > 1000);
  CHECK(ColdQuota(terms, -1e300, 0) == 0);
  terms.overshoot = 1e308;
  CHECK(ColdQuota(terms, 1e308, 0) > 1000);
  terms.slack = -1e308;
  CHECK(ColdQuota(terms, 1e308, 0) > 1000);
  const std::string text =
    R"({"node":"h","ip":"10.1.0.1","zone":"z","internal_ports":[7720],
     "listen":{"front":"10.1.0.1:8161","ready":"10.1.0.1:8167"},
     "platform":{"address":"10.2.0.1:8169"},"limits":{"memory_mb":)";
  for (const char* megabytes : { "1e14", "1e30", "1e308" }) {
    CAPTURE(megabytes);
    const auto settings = BootSettings::Parse(text + megabytes + "}}");
    REQUIRE(settings);
    CHECK(settings.value().host.gateway.maxBuffered > ByteCount(1U << 30U));
  }
}

// Guards against weights whose sum overflows, so that one service gets all
// requests.
TEST_CASE("odd number: a split with very large weights uses all its services")
{
  const auto table = ObjectDecoder().DecodeConfiguration(
    R"({"version":1,"routes":[{"host":"h","path_prefix":"/","traffic_split":[
       {"service":"a","weight":-1e308},{"service":"b","weight":1.7e308},
       {"service":"c","weight":1.7e308},{"service":"d","weight":"2"}]}]})");
  REQUIRE(table);
  SplitCursor cursor;
  std::multiset<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(cursor.Next(table.value()->Find("h", "/")->shares).value());
  }
  CHECK(chosen.count("b") == 50);
  CHECK(chosen.count("c") == 50);
}

// Guards against limits and times that overflow, and against a version or a
// count of routes that ends the process.
TEST_CASE("odd number: a configuration's odd times and limits stay in range")
{
  const ObjectDecoder decoder;
  const std::string route =
    R"({"name":"r","host":"h","path_prefix":"/","service":"s","timeout_s":)";
  const std::pair<const char*, Duration> times[] = {
    { "0", 0s },        { "1e18", 24h },         { "1e308", 24h },
    { "\"1\"", 1000s }, { "-1", 1000s },         { "1e-300", 0s },
    { "null", 1000s },  { "9223372036.9", 24h },
  };
  const Duration standard = RouteSpec().timeout;
  for (const auto& [text, expected] : times) {
    CAPTURE(text);
    const auto table = decoder.DecodeConfiguration(
      R"({"version":18446744073709551615,"limits":{"idle_timeout_s":)" +
      std::string(text) + R"(,"max_header_bytes":9223372036854775808,
      "max_body_bytes":1e30},"routes":[)" +
      route + text + "}]}");
    REQUIRE(table);
    const Duration timeout = table.value()->Find("h", "/")->timeout;
    CHECK(timeout == (expected == 1000s ? standard : expected));
    CHECK(table.value()->Limits().maxBody == CallerLimits().maxBody);
  }
  std::string many = route + "1}";
  for (int i = 0; i < 5000; ++i) {
    many += "," + route + "2}";
  }
  const auto table =
    decoder.DecodeConfiguration(R"({"version":1,"routes":[)" + many + "]}");
  REQUIRE(table);
  CHECK(table.value()->Find("h", "/")->timeout == 1s);
  for (const char* odd : { "18446744073709551616", "-1", "1.5", "\"1\"" }) {
    CAPTURE(odd);
    CHECK_FALSE(
      decoder.DecodeConfiguration(R"({"version":)" + std::string(odd) + "}"));
  }
}

// Guards against a length that is cut or overflows, so that a response's body
// ends early or never.
TEST_CASE("odd number: an answer's odd length is refused")
{
  ParserLimits limits;
  limits.maxBody = ByteCount(1000);
  for (const char* length : { "1001",
                              "-1",
                              "1.5",
                              "1e3",
                              "4294967296",
                              "18446744073709551615",
                              "18446744073709551616",
                              "100000000000000000000000000000",
                              "4\r\nContent-Length: 5",
                              "4, 4",
                              "x" }) {
    CAPTURE(length);
    MessageParser parser(MessageSide::kAnswer, limits);
    parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) +
                "\r\n\r\nbody");
    CHECK(parser.Failure() != ParseFailure::kNone);
  }
}
