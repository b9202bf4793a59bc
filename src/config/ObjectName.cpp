#include "config/ObjectName.h"

#include "config/IdText.h"

namespace lacewing {

namespace {

constexpr const char* kServicePrefix = "service/";

} // namespace

ObjectName ServiceObject(const ServiceId& aService)
{
  return ObjectName(kServicePrefix + aService.value());
}

ObjectName ZonesObject()
{
  return ObjectName("zones");
}

ObjectName HostsObject()
{
  return ObjectName("hosts");
}

std::optional<ServiceId> ServiceOfObject(const ObjectName& aName)
{
  const std::string prefix = kServicePrefix;
  if (aName.value().compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  std::string id = aName.value().substr(prefix.size());
  if (!IsIdText(id)) {
    return std::nullopt;
  }
  return ServiceId(std::move(id));
}

} // namespace lacewing
