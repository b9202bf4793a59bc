#ifndef CONTROL_CONTROLSETTINGSREADER_H
#define CONTROL_CONTROLSETTINGSREADER_H

#include "control/ControlSettings.h"
#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Fails with kInvalidSettings and a line for each problem. */
Outcome<ControlSettings> ParseControlSettings(const std::string& aText);
Outcome<ControlSettings> ReadControlSettings(const std::string& aPath);

} // namespace lacewing

#endif // CONTROL_CONTROLSETTINGSREADER_H
