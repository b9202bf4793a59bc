#include "control/ConfigCollector.h"
#include "control/ConfigFollower.h"
#include "control/ConfigParts.h"
#include "store/HttpObjectStore.h"
#include "support/StoredConfig.h"
#include "wire/WireMessage.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

struct Fixture
{
  void Start(bool aWatching = true)
  {
    ControlTerms terms;
    terms.slowPollTime = std::chrono::milliseconds(100);
    follower =
      std::make_unique<ConfigFollower>(context, store, configs, terms, 1);
    follower->SetWatching(aWatching);
  }

  bool Reaches(std::uint64_t aVersion)
  {
    return RunUntil(
      context, [&] { return configs.Version() == ConfigVersion(aVersion); });
  }

  asio::io_context context;
  TestPlatform platform{ context };
  HttpObjectStore store{ context,
                         { platform.Where(), std::chrono::milliseconds(500) } };
  int changes = 0;
  ConfigState configs{ [this] { ++changes; } };
  std::unique_ptr<ConfigFollower> follower;
};

} // namespace

// Guards against a change that is not noticed, and against reading all blobs
// again for a change of one.
TEST_CASE_FIXTURE(Fixture, "the follower takes a change and fetches its blobs")
{
  WriteConfig(platform, MakeConfig(1, 30));
  Start();
  REQUIRE(Reaches(1));
  const auto gets = store.Counts().started[0];
  WriteConfig(platform, MakeConfig(2, 30, "PUT"));
  REQUIRE(Reaches(2));
  CHECK(store.Counts().started[0] == gets + 1);
  CHECK(configs.InForce()->blobs.size() == 32);
  platform.SetFaults(R"({"down":true})");
  REQUIRE(
    RunUntil(context, [&] { return follower->Counts().failedReads > 1; }));
  platform.SetFaults(R"({"down":false})");
  WriteConfig(platform, MakeConfig(3, 30));
  CHECK(Reaches(3));
}

// Guards against a configuration that goes back when the store serves old
// data after a newer version came from a peer (I9), and against a tight loop.
TEST_CASE_FIXTURE(Fixture, "the follower ignores stale heads")
{
  for (const bool watching : { true, false }) {
    WriteConfig(platform, MakeConfig(1, 3));
    const EncodedConfig newer = MakeConfig(2, 3, "PUT");
    if (watching) {
      REQUIRE(configs.Offer(newer.head, newer.blobs).has_value());
    }
    Start(watching);
    REQUIRE(
      RunUntil(context, [&] { return follower->Counts().staleHeads > 0; }));
    CHECK(configs.Version() == ConfigVersion(2));
    const std::uint64_t calls = store.Counts().started[4];
    context.restart();
    context.run_for(std::chrono::milliseconds(500));
    CHECK(store.Counts().started[4] - calls < 20);
    CHECK(configs.Offer(newer.head, newer.blobs).error().kind ==
          ErrorKind::kConflict);
  }
  CHECK(changes == 1);
}

// Guards against an invalid or oversize object that replaces the last good
// configuration or stops the follower for good.
TEST_CASE_FIXTURE(Fixture, "the follower keeps the last good configuration")
{
  WriteConfig(platform, MakeConfig(1, 3));
  Start();
  REQUIRE(Reaches(1));
  std::uint64_t seen = 0;
  const auto expectRefused = [&] {
    CHECK(RunUntil(context,
                   [&] { return follower->Counts().invalidObjects > seen; }));
    seen = follower->Counts().invalidObjects;
    CHECK(configs.Version() == ConfigVersion(1));
  };
  platform.Put("config/head", "not CBOR");
  expectRefused();
  EncodedConfig changed = MakeConfig(2, 3, "PUT");
  const ObjectName service("service/s0");
  changed.blobs[service] = "not what the hash says";
  WriteConfig(platform, changed);
  expectRefused();
  changed.blobs[service] = std::string(1'000'001, 'x');
  const BlobHash hash = HashOfBlob(changed.blobs[service]);
  changed.head.entries[service] = { hash, BlobKey(service, hash) };
  WriteConfig(platform, changed);
  expectRefused();
  WriteConfig(platform, MakeConfig(3, 3, "PUT"));
  CHECK(Reaches(3));
}

// Guards against parts that are too large, incomplete sets put in force, and
// blobs sent again to a process that holds them.
TEST_CASE("a configuration travels in parts to another process")
{
  EncodedConfig encoded = MakeConfig(7, 1500);
  ConfigState sender([] {});
  REQUIRE(sender.Offer(encoded.head, encoded.blobs).has_value());
  const auto parts = SplitConfig(*sender.InForce(), {});
  REQUIRE(parts.size() > 1);
  ConfigCollector collector;
  std::optional<EncodedConfig> whole;
  for (const ConfigMessage& part : parts) {
    CHECK_FALSE(whole);
    const auto frame = nlohmann::json::to_cbor(EncodeMessage(part));
    CHECK(frame.size() <= kMaxConfigPartBytes + 1024);
    auto added = collector.Add(part);
    REQUIRE(added.has_value());
    whole = std::move(added).value();
  }
  REQUIRE(whole);
  ConfigState receiver([] {});
  REQUIRE(receiver.Offer(whole->head, whole->blobs).has_value());
  CHECK(receiver.Version() == ConfigVersion(7));

  HeldHashes held;
  for (const auto& [name, entry] : encoded.head.entries) {
    held[name] = entry.hash;
  }
  held.erase(ObjectName("service/s3"));
  const auto difference = SplitConfig(*sender.InForce(), held);
  CHECK(difference.back().blobs.size() == 1);

  ConfigCollector other;
  CHECK(other.Add(parts[1]).error().kind == ErrorKind::kInvalidMessage);
  REQUIRE(other.Add(parts[0]).has_value());
  ConfigMessage late = parts[1];
  late.version = ConfigVersion(8);
  CHECK_FALSE(other.Add(late).has_value());
  ConfigMessage hostile;
  hostile.version = ConfigVersion(9);
  hostile.last = true;
  hostile.entries.push_back({ "../head", std::string(32, 'a') });
  CHECK_FALSE(other.Add(hostile).has_value());
}
