#include "config/BlobCodec.h"
#include "config/ConfigAssembler.h"
#include "config/ConfigEncoder.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "core/CborBounds.h"
#include "support/ConfigGenerators.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lacewing;

namespace {

EncodedConfig Encode(const Configuration& aConfiguration,
                     const ConfigHead& aHead = {})
{
  auto encoded =
    EncodeConfig(aConfiguration,
                 aHead,
                 WriteToken("t" + std::to_string(aHead.version.value() + 1)));
  REQUIRE(encoded.has_value());
  return encoded.value();
}

void DecodeEverything(const std::string& aBytes)
{
  (void)DecodeHead(aBytes);
  (void)DecodeService(aBytes);
  (void)DecodeZones(aBytes);
  (void)DecodeHosts(aBytes);
}

Configuration SmallConfiguration()
{
  Configuration configuration;
  const ZoneId zone("bole");
  configuration.zones[zone] = { zone, Lifecycle::kInService };
  const HostId host("h1");
  configuration.hosts[host] = { host, zone, Lifecycle::kInService };
  for (const char* name : { "ledger", "intake" }) {
    ServiceConfig service;
    service.id = ServiceId(name);
    service.targets.push_back(
      { TargetId(std::string(name) + "-1"),
        { "127.0.0.1",
          static_cast<std::uint16_t>(9000 + configuration.services.size()) },
        zone,
        Lifecycle::kInService });
    configuration.services[ServiceId(name)] =
      std::make_shared<const ServiceConfig>(service);
  }
  return configuration;
}

} // namespace

// Guards against a field that is lost or altered between writer and reader,
// and against equal configurations with different hashes.
TEST_CASE("a configuration survives encoding and decoding")
{
  CHECK(rc::check([] {
    const Configuration original = AnyConfiguration();
    const EncodedConfig encoded = Encode(original);
    const auto head = DecodeHead(EncodeHead(encoded.head).value());
    RC_ASSERT(head.has_value());
    RC_ASSERT(head.value() == encoded.head);
    const auto loaded = AssembleConfig(head.value(), encoded.blobs, nullptr);
    RC_ASSERT(loaded.has_value());
    const Configuration& copy = *loaded.value().configuration;
    RC_ASSERT(copy.version == ConfigVersion(1));
    // Compared through the fields that the codec does not visit by table.
    RC_ASSERT(copy.zones.size() == original.zones.size());
    RC_ASSERT(copy.hosts.size() == original.hosts.size());
    for (const auto& [id, service] : original.services) {
      const ServiceConfig& other = *copy.services.at(id);
      RC_ASSERT(other.slots == service->slots);
      RC_ASSERT(other.connections == service->connections);
      RC_ASSERT(other.idempotentMethods == service->idempotentMethods);
      RC_ASSERT(other.deadline == service->deadline);
      RC_ASSERT(other.measuringBudget == service->measuringBudget);
      RC_ASSERT(other.coldLimit == service->coldLimit);
      RC_ASSERT(other.coldTime == service->coldTime);
      RC_ASSERT(other.rampTime == service->rampTime);
      RC_ASSERT(other.targets.size() == service->targets.size());
      for (std::size_t i = 0; i < other.targets.size(); ++i) {
        RC_ASSERT(other.targets[i].id == service->targets[i].id);
        RC_ASSERT(other.targets[i].endpoint == service->targets[i].endpoint);
        RC_ASSERT(other.targets[i].zone == service->targets[i].zone);
        RC_ASSERT(other.targets[i].lifecycle == service->targets[i].lifecycle);
      }
    }
    RC_ASSERT(Encode(copy).blobs == encoded.blobs);
  }));
}

// Guards against crashes and unbounded work on hostile or damaged objects.
TEST_CASE("random, truncated and altered bytes are refused without a crash")
{
  CHECK(rc::check([] {
    DecodeEverything(*rc::gen::arbitrary<std::string>());
    const EncodedConfig encoded = Encode(AnyConfiguration());
    const std::string head = EncodeHead(encoded.head).value();
    const auto cut = *rc::gen::inRange<std::size_t>(0, head.size());
    RC_ASSERT(!DecodeHead(head.substr(0, cut)).has_value());
    for (const auto& [name, blob] : encoded.blobs) {
      std::string altered = blob;
      const auto at = *rc::gen::inRange<std::size_t>(0, blob.size());
      altered[at] = *rc::gen::arbitrary<char>();
      DecodeEverything(altered);
      DecodeEverything(blob.substr(0, at));
    }
  }));
}

// Guards against a stack overflow: nlohmann-json decodes nested arrays and
// nested strings of unknown length recursively.
TEST_CASE("deeply nested CBOR is refused before decoding")
{
  for (const char nested : { '\x81', '\x7f', '\x5f', '\x9f', '\xc1' }) {
    const std::string bytes(900'000, nested);
    CHECK(!DecodeHead(bytes).has_value());
    CHECK(!CheckCborBounds(bytes, {}).has_value());
  }
}

// Guards against memory use in proportion to a size that a sender only claims.
TEST_CASE("objects beyond the size limits are refused")
{
  CHECK(DecodeHead(std::string(1'000'001, 'a')).error().kind ==
        ErrorKind::kTooLarge);
  CHECK(!DecodeZones("\xa1\x65zones\x9a\xff\xff\xff\xff").has_value());
  ServiceConfig service;
  service.id = ServiceId("big");
  for (int i = 0; i < 20'000; ++i) {
    service.targets.push_back({ TargetId("target-" + std::to_string(i)),
                                { "127.0.0.1", 1 },
                                ZoneId("bole"),
                                Lifecycle::kInService });
  }
  CHECK(EncodeService(service).error().kind == ErrorKind::kTooLarge);
}

// Guards against one changed service making every host rebuild all services.
TEST_CASE("unchanged services are shared with the previous configuration")
{
  const EncodedConfig first = Encode(SmallConfiguration());
  const auto before = AssembleConfig(first.head, first.blobs, nullptr);
  REQUIRE(before.has_value());
  Configuration changed = SmallConfiguration();
  ServiceConfig ledger = *changed.services.at(ServiceId("ledger"));
  ledger.slots = SlotCount(7);
  changed.services[ledger.id] = std::make_shared<const ServiceConfig>(ledger);
  const EncodedConfig second = Encode(changed, first.head);
  const auto names = ChangedObjects(first.head, second.head);
  REQUIRE(names == std::vector<ObjectName>{ ServiceObject(ledger.id) });
  const BlobMap fetched{ *second.blobs.find(names.front()) };
  const auto after = AssembleConfig(second.head, fetched, &before.value());
  REQUIRE(after.has_value());
  const auto& old = before.value().configuration->services;
  const auto& now = after.value().configuration->services;
  CHECK(now.at(ServiceId("intake")) == old.at(ServiceId("intake")));
  CHECK(now.at(ledger.id)->slots == SlotCount(7));
  CHECK(after.value().configuration->version == ConfigVersion(2));
}

// Guards against rewriting every object for a change of one, and against an
// older release dropping the fields that a newer one wrote.
TEST_CASE("objects that did not change keep their entries")
{
  EncodedConfig first = Encode(SmallConfiguration());
  std::string& zones = first.blobs[ZonesObject()];
  nlohmann::json newer = nlohmann::json::from_cbor(zones);
  newer["colour"] = "blue";
  zones.clear();
  nlohmann::json::to_cbor(newer, zones);
  const BlobHash hash = HashOfBlob(zones);
  first.head.entries[ZonesObject()] = { hash, BlobKey(ZonesObject(), hash) };
  const auto base = AssembleConfig(first.head, first.blobs, nullptr);
  REQUIRE(base.has_value());

  Configuration next = *base.value().configuration;
  next.hosts[HostId("h1")].lifecycle = Lifecycle::kOut;
  const auto second = EncodeNextConfig(next, base.value(), WriteToken("t2"));
  REQUIRE(second.has_value());
  CHECK(second.value().blobs.size() == 1);
  CHECK(second.value().blobs.count(HostsObject()) == 1);
  CHECK(second.value().head.entries.at(ZonesObject()).hash == hash);
}

// Guards against mixing blobs of different versions.
TEST_CASE("missing, foreign and inconsistent blobs are refused")
{
  const EncodedConfig encoded = Encode(SmallConfiguration());
  BlobMap blobs = encoded.blobs;
  blobs.erase(ZonesObject());
  CHECK(AssembleConfig(encoded.head, blobs, nullptr).error().kind ==
        ErrorKind::kNotFound);
  blobs[ZonesObject()] = blobs[HostsObject()];
  CHECK(AssembleConfig(encoded.head, blobs, nullptr).error().kind ==
        ErrorKind::kInvalidMessage);
  blobs[ZonesObject()] = EncodeZones({}).value();
  ConfigHead head = encoded.head;
  head.entries[ZonesObject()].hash = HashOfBlob(blobs[ZonesObject()]);
  CHECK(AssembleConfig(head, blobs, nullptr).error().kind ==
        ErrorKind::kInvalidMessage);
}

// Guards against publishing what readers refuse, which would leave every host
// at its last good configuration.
TEST_CASE("a configuration that readers would refuse is not encoded")
{
  Configuration unknownZone = SmallConfiguration();
  unknownZone.zones.clear();
  CHECK(!EncodeConfig(unknownZone, ConfigHead(), WriteToken("t1")).has_value());
  Configuration badId = SmallConfiguration();
  badId.hosts[HostId("a/b")] = { HostId("a/b"),
                                 ZoneId("bole"),
                                 Lifecycle::kInService };
  CHECK(!EncodeConfig(badId, ConfigHead(), WriteToken("t1")).has_value());
}

// Guards against a head whose list of recent writes grows without limit or
// forgets the writer before last.
TEST_CASE("the head remembers the last 64 writes")
{
  ConfigHead head;
  for (int i = 1; i <= 100; ++i) {
    head = NextHead(head, WriteToken("t" + std::to_string(i)));
  }
  CHECK(head.recent.size() == kMaxRecentWrites);
  CHECK(VersionOfToken(head, WriteToken("t100")) == ConfigVersion(100));
  CHECK(VersionOfToken(head, WriteToken("t36")) == ConfigVersion(36));
  CHECK(!VersionOfToken(head, WriteToken("t35")));
}

// Guards against a head near the store's limit at the size in two years.
TEST_CASE("the head of 580 services takes less than 60 KB")
{
  ConfigHead head;
  for (int i = 0; i < 100; ++i) {
    head = NextHead(head, WriteToken(HashOfBlob(std::to_string(i)).value()));
  }
  for (int i = 0; i < 580; ++i) {
    const ObjectName name =
      ServiceObject(ServiceId("branch-service-" + std::to_string(i)));
    const BlobHash hash = HashOfBlob(name.value());
    head.entries[name] = { hash, BlobKey(name, hash) };
  }
  const std::string bytes = EncodeHead(head).value();
  MESSAGE("head of 580 services: " << bytes.size() << " bytes");
  CHECK(bytes.size() < 60'000);
  CHECK(DecodeHead(bytes).value() == head);
}
