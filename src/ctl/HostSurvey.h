#ifndef CTL_HOSTSURVEY_H
#define CTL_HOSTSURVEY_H

#include "ctl/HostReader.h"
#include "ctl/HostReport.h"
#include "lacewing/Outcome.h"
#include "store/ObjectStore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace lacewing {

/** Daemons answer from memory; a slower one is reported as silent. */
constexpr std::chrono::milliseconds kHostTimeout{ 2000 };

using HostReportsHandler =
  std::function<void(Outcome<std::vector<HostReport>>)>;

/**
 * Asks every host of the platform's list, leaving ones included, for the
 * version in force and waits up to aTimeout for each. aAdminPort is used for
 * addresses without a port. Fails only when the list cannot be read.
 */
void SurveyHosts(ObjectStore& aStore,
                 HostReader& aReader,
                 std::uint16_t aAdminPort,
                 std::chrono::milliseconds aTimeout,
                 HostReportsHandler aHandler);

} // namespace lacewing

#endif // CTL_HOSTSURVEY_H
