#ifndef CONFIG_OBJECTNAME_H
#define CONFIG_OBJECTNAME_H

#include "lacewing/ServiceId.h"
#include "lacewing/StrongString.h"

#include <optional>

namespace lacewing {

/** Names a part of the configuration: "service/<id>", "zones" or "hosts". */
using ObjectName = StrongString<struct ObjectNameTag>;

ObjectName ServiceObject(const ServiceId& aService);
ObjectName ZonesObject();
ObjectName HostsObject();

/** The service of a "service/<id>" name. */
std::optional<ServiceId> ServiceOfObject(const ObjectName& aName);

} // namespace lacewing

#endif // CONFIG_OBJECTNAME_H
