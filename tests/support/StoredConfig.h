#ifndef TESTS_SUPPORT_STOREDCONFIG_H
#define TESTS_SUPPORT_STOREDCONFIG_H

#include "config/ConfigEncoder.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "support/TestPlatform.h"

#include <memory>
#include <string>

namespace lacewing {

/** A configuration whose services have one target each at the given port. */
inline EncodedConfig MakeConfig(std::uint64_t aVersion,
                                std::size_t aServices,
                                const std::string& aMethod = "GET")
{
  Configuration configuration;
  configuration.zones[ZoneId("Bole")] = { ZoneId("Bole"), {} };
  for (std::size_t i = 0; i < aServices; ++i) {
    ServiceConfig service;
    service.id = ServiceId("s" + std::to_string(i));
    service.slots = SlotCount(3);
    // Only the first service differs between methods.
    if (i == 0) {
      service.idempotentMethods = { aMethod };
    }
    service.targets.push_back({ TargetId(service.id.value() + ".t"),
                                { "127.0.0.1", std::uint16_t(10000 + i) },
                                ZoneId("Bole"),
                                Lifecycle::kInService });
    const auto shared =
      std::make_shared<const ServiceConfig>(std::move(service));
    configuration.services[shared->id] = shared;
  }
  ConfigHead head;
  head.version = ConfigVersion(aVersion - 1);
  head.token = WriteToken(aVersion > 1 ? "before" : "");
  auto encoded = EncodeConfig(
    configuration, head, WriteToken("w" + std::to_string(aVersion)));
  REQUIRE_MESSAGE(encoded.has_value(),
                  (encoded ? "" : encoded.error().ToString()));
  return std::move(encoded).value();
}

/** Writes all blobs and then the head. */
inline void WriteConfig(TestPlatform& aPlatform, const EncodedConfig& aConfig)
{
  for (const auto& [name, bytes] : aConfig.blobs) {
    aPlatform.Put(aConfig.head.entries.at(name).key.value(), bytes);
  }
  aPlatform.Put(HeadKey().value(), EncodeHead(aConfig.head).value());
}

} // namespace lacewing

#endif // TESTS_SUPPORT_STOREDCONFIG_H
