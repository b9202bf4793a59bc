#ifndef CORE_NEWINCARNATION_H
#define CORE_NEWINCARNATION_H

#include "lacewing/Incarnation.h"

namespace lacewing {

/**
 * An incarnation from the date, in microseconds. Later runs on a host get
 * higher numbers as long as its date goes forward.
 */
Incarnation NewIncarnation();

} // namespace lacewing

#endif // CORE_NEWINCARNATION_H
