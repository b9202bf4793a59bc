#include "control/ConfigCollector.h"

#include "config/ConfigKeys.h"
#include "config/ConfigLimits.h"

#include <utility>

namespace lacewing {

namespace {

// Seven times the largest configuration of the design (580 services at 4 KB).
constexpr std::size_t kMaxConfigBytes = 16U << 20U;
// All services, the zones and the hosts.
constexpr std::size_t kMaxEntries = kMaxServices + 2;

bool IsObjectName(const ObjectName& aName)
{
  return aName == ZonesObject() || aName == HostsObject() ||
         ServiceOfObject(aName);
}

} // namespace

Outcome<std::optional<EncodedConfig>> ConfigCollector::Add(ConfigMessage aPart)
{
  const bool last = aPart.last;
  const auto appended = Append(std::move(aPart));
  std::optional<EncodedConfig> whole;
  if (appended && !last) {
    return whole;
  }
  EncodedConfig collected = std::move(collected_);
  *this = ConfigCollector();
  if (!appended) {
    return outcome::failure(appended.error());
  }
  whole = std::move(collected);
  return whole;
}

Outcome<void> ConfigCollector::Append(ConfigMessage aPart)
{
  if (aPart.part == 0) {
    *this = ConfigCollector();
    collected_.head.version = aPart.version;
  }
  if (aPart.part != nextPart_ || aPart.version != collected_.head.version) {
    return Fail(ErrorKind::kInvalidMessage,
                "a part of a configuration is out of order",
                "ask for the configuration again");
  }
  ++nextPart_;
  for (const ConfigEntry& entry : aPart.entries) {
    const ObjectName name(entry.name);
    if (!IsObjectName(name) || !IsBlobHashText(entry.hash)) {
      return Fail(ErrorKind::kInvalidMessage,
                  "a configuration names an invalid object",
                  "run releases of the same protocol version");
    }
    const BlobHash hash(entry.hash);
    collected_.head.entries[name] = { hash, BlobKey(name, hash) };
  }
  for (ConfigBlob& blob : aPart.blobs) {
    bytes_ += blob.bytes.value().size();
    collected_.blobs[ObjectName(blob.name)] = blob.bytes.value();
  }
  if (bytes_ > kMaxConfigBytes || collected_.blobs.size() > kMaxEntries ||
      collected_.head.entries.size() > kMaxEntries) {
    return Fail(ErrorKind::kTooLarge,
                "a peer sends a configuration beyond the limits",
                "check the peer; the configuration in force stays");
  }
  return outcome::success();
}

} // namespace lacewing
