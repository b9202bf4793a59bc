#ifndef FLEET_EVIDENCEREADER_H
#define FLEET_EVIDENCEREADER_H

#include "rollout/RolloutEvidence.h"

#include <functional>
#include <vector>

namespace lacewing {

using EvidenceHandler =
  std::function<void(const std::vector<RolloutEvidence>&)>;

/**
 * Reads what the traffic thread has counted of the orders in progress, and
 * calls the handler on the control thread.
 */
using EvidenceReader = std::function<void(EvidenceHandler)>;

} // namespace lacewing

#endif // FLEET_EVIDENCEREADER_H
