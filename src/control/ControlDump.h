#ifndef CONTROL_CONTROLDUMP_H
#define CONTROL_CONTROLDUMP_H

#include "lacewing/Clock.h"

#include <string>

namespace lacewing {

class ControlState;

/** The state as JSON, for /dump. */
std::string MakeControlDump(const Clock& aClock, const ControlState& aState);

} // namespace lacewing

#endif // CONTROL_CONTROLDUMP_H
