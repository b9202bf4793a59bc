#include "check/ConfigurationCheck.h"

#include "check/CustomerCheck.h"
#include "check/LimitCheck.h"
#include "check/RouteCheck.h"
#include "check/ServiceCheck.h"

#include <array>

namespace lacewing {

namespace {

using Check = void (*)(const ConfigurationSpec&, Findings&);

constexpr std::array<Check, 4> kChecks{ &CheckRoutes,
                                        &CheckServices,
                                        &CheckCustomers,
                                        &CheckLimits };

} // namespace

Findings CheckConfiguration(const ConfigurationSpec& aSpec)
{
  Findings findings;
  for (const Check check : kChecks) {
    check(aSpec, findings);
  }
  return findings;
}

} // namespace lacewing
