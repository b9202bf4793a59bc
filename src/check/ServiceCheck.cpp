#include "check/ServiceCheck.h"

#include "check/Place.h"
#include "core/UnitText.h"

#include <set>

namespace lacewing {

void CheckServices(const ConfigurationSpec& aSpec, Findings& aFindings)
{
  std::set<ServiceId> used;
  for (const RouteSpec& route : aSpec.routes) {
    for (const ServiceShare& share : route.shares) {
      used.insert(share.service);
    }
  }
  std::set<ServiceId> names;
  for (const ServiceSpec& service : aSpec.services) {
    if (!names.insert(service.id).second) {
      aFindings.push_back({ FindingSeverity::kError,
                            PlaceOf(service),
                            "an earlier service has the same name",
                            "remove one of them; hosts use the last" });
    }
    if (used.count(service.id) == 0) {
      aFindings.push_back({ FindingSeverity::kError,
                            PlaceOf(service),
                            "no route uses it",
                            "remove it, or name it in a route" });
    }
    if (service.warmUp > Duration::zero() && service.warmUpRate <= 0) {
      aFindings.push_back(
        { FindingSeverity::kError,
          PlaceOf(service),
          "a target is cold for " + FormatDuration(service.warmUp) +
            ", but the rate that it can process then is not given",
          "give the rate, or set the time to 0" });
    }
  }
}

} // namespace lacewing
