#include "control/LeaseRecordCodec.h"
#include "decision/LeaseRanking.h"
#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"
#include "support/TempFile.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct ControlFixture
{
  ControlFixture() { REQUIRE(WaitUntilListening(platformAt)); }

  std::string Settings(const std::string& aAddress) const
  {
    return "host = \"h" + aAddress.substr(aAddress.rfind('.') + 1) +
           "\"\nzone = \"Bole\"\nmessages = \"" +
           ports.At(1, aAddress).ToString() + "\"\nadmin = \"" +
           ports.At(2, aAddress).ToString() + "\"\nplatform = \"" +
           platformAt.ToString() + "\"\n";
  }

  /** Leases of the stored objects that hold the condition. */
  template<class Condition>
  unsigned Count(Condition aCondition) const
  {
    unsigned count = 0;
    for (std::uint32_t shard = 0; shard < kLeaseShards; ++shard) {
      const auto object =
        Get(platformAt, "/objects/" + LeaseKey(ShardId(shard)).value());
      const auto record = DecodeLease(object.response.body);
      count += record && aCondition(record.value()) ? 1 : 0;
    }
    return count;
  }

  template<class Condition>
  bool Until(unsigned aCount, Condition aCondition) const
  {
    for (int i = 0; i < 100 && Count(aCondition) != aCount; ++i) {
      std::this_thread::sleep_for(100ms);
    }
    return Count(aCondition) == aCount;
  }

  FreePorts ports{ 3 };
  Endpoint platformAt = ports.At(0);
  Process platform{ "standin-platform",
                    { "--listen=" + platformAt.ToString() } };
};

} // namespace

// Guards against a planned stop that keeps leases until they expire, after
// which the targets of 32 shards would get no grants for 10 s longer.
TEST_CASE_FIXTURE(ControlFixture, "controld releases its leases on SIGTERM")
{
  const TempFile settings(Settings("127.0.0.1"));
  Process first("lacewing-controld", { "--settings", settings.Path() });
  const auto heldBy = [](const char* aHost) {
    return [aHost](const LeaseRecord& aRecord) {
      return !aRecord.released && aRecord.holder == HostId(aHost);
    };
  };
  REQUIRE(Until(kLeaseShards, heldBy("h1")));
  CHECK(Get(ports.At(2), "/health").response.status == 200);
  CHECK(Get(ports.At(2), "/ready").response.status == 503);
  CHECK(GetJson(ports.At(2), "/dump").at("leases").size() == kLeaseShards);
  CHECK(first.Stop(5s) == 0);
  CHECK(Count([](const LeaseRecord& aRecord) { return aRecord.released; }) ==
        kLeaseShards);
  const TempFile other(Settings("127.0.0.2"));
  const Process second("lacewing-controld", { "--settings", other.Path() });
  CHECK(Until(kLeaseShards, heldBy("h2")));
}

// Guards against a daemon that starts with settings it does not understand.
TEST_CASE("controld refuses bad settings")
{
  const TempFile bad("host = \"h\"\nzone = 3\nmesages = \"127.0.0.1:1\"\n");
  Process controld("lacewing-controld",
                   { "--settings=" + bad.Path(), "--check-settings" });
  CHECK(controld.Wait(5s) == 1);
  for (const char* key : { "zone", "mesages", "admin", "platform" }) {
    CHECK(controld.Output().find(key) != std::string::npos);
  }
}
