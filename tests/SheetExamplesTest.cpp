#include "config/ConfigEncoder.h"
#include "config/SheetReader.h"
#include "ctl/SheetFile.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

Configuration Example(const std::string& aName)
{
  const auto text =
    ReadSheetText(LACEWING_SOURCE_DIR "/examples/" + aName + ".csv");
  REQUIRE(text.has_value());
  const auto sheet = ReadSheet(text.value());
  REQUIRE_MESSAGE(sheet.has_value(), sheet.error().front().ToString());
  CHECK(EncodeConfig(sheet.value(), {}, WriteToken("t1")).has_value());
  return sheet.value();
}

void CheckService(const Configuration& aConfiguration,
                  const char* aId,
                  std::size_t aTargets,
                  std::uint32_t aSlots)
{
  const ServiceConfig& service = *aConfiguration.services.at(ServiceId(aId));
  CHECK(service.targets.size() == aTargets);
  CHECK(service.slots == SlotCount(aSlots));
  CHECK(service.coldLimit == SlotCount(1));
}

} // namespace

// Guards against examples that the reader refuses or that no longer have the
// sizes of section 1.4 of the design page.
TEST_CASE("the example sheets have the sizes of the two deployments")
{
  const Configuration addis = Example("addis");
  CHECK(addis.zones.size() == 3);
  CHECK(addis.hosts.size() == 17);
  CheckService(addis, "member-ledger", 30, 3);
  CheckService(addis, "document-intake", 6, 3);
  const Configuration sicily = Example("sicily");
  CHECK(sicily.zones.size() == 4);
  CHECK(sicily.hosts.size() == 14);
  CheckService(sicily, "registro", 25, 6);
  CheckService(sicily, "archivio", 8, 6);
  CheckService(Example("small"), "member-ledger", 4, 3);
}
