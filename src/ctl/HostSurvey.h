#ifndef CTL_HOSTSURVEY_H
#define CTL_HOSTSURVEY_H

#include "ctl/HostReader.h"
#include "ctl/HostReport.h"
#include "lacewing/Outcome.h"
#include "store/ObjectStore.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewing {

using HostReportsHandler =
  std::function<void(Outcome<std::vector<HostReport>>)>;

/**
 * Asks every host of the platform's list, leaving ones included, for the
 * version in force. aAdminPort is used for addresses without a port. Fails
 * only when the list cannot be read.
 */
void SurveyHosts(ObjectStore& aStore,
                 HostReader& aReader,
                 std::uint16_t aAdminPort,
                 HostReportsHandler aHandler);

} // namespace lacewing

#endif // CTL_HOSTSURVEY_H
