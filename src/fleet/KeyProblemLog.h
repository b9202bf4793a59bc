#ifndef FLEET_KEYPROBLEMLOG_H
#define FLEET_KEYPROBLEMLOG_H

#include "catalog/KeyProblem.h"

#include <vector>

namespace lacewing {

/** The problems of aNow that aBefore does not have, in order. */
std::vector<KeyProblem> NewKeyProblems(const std::vector<KeyProblem>& aBefore,
                                       const std::vector<KeyProblem>& aNow);

/**
 * Logs keys that identify no customer by their place, once as long as the
 * problem lasts, and at most 20 of one configuration.
 */
void LogKeyProblems(const std::vector<KeyProblem>& aProblems);

} // namespace lacewing

#endif // FLEET_KEYPROBLEMLOG_H
