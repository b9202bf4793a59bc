#ifndef STANDIN_TARGETSPECS_H
#define STANDIN_TARGETSPECS_H

#include "lacewing/Outcome.h"
#include "standin/TargetSpec.h"

#include <string>
#include <vector>

namespace lacewing {

/**
 * Reads a TOML file with a table "defaults" of properties and an array
 * "target" of tables with "id", "listen" and properties.
 */
Outcome<std::vector<TargetSpec>> ReadTargetsFile(const std::string& aPath);

/**
 * Makes a target "target-PORT" for each "ADDRESS:PORT", all with the
 * properties that aSettings sets as "name=value".
 */
Outcome<std::vector<TargetSpec>> MakeTargetSpecs(
  const std::vector<std::string>& aEndpoints,
  const std::vector<std::string>& aSettings);

} // namespace lacewing

#endif // STANDIN_TARGETSPECS_H
