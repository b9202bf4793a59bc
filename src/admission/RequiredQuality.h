#ifndef ADMISSION_REQUIREDQUALITY_H
#define ADMISSION_REQUIREDQUALITY_H

#include "balance/TargetQuality.h"

namespace lacewing {

/**
 * Returns what a target must offer a request. Answers an overload in which many
 * targets are slow, full or shed: a request on a slow target or on a target's
 * last slots uses the capacity of several others, which prolongs the overload.
 * Only routes above the lowest priority may still use last slots, so that a
 * more urgent route is not served less than a less urgent one. Tested by
 * AdmissionTest.
 */
TargetQuality RequiredQuality(bool aPressureIsHigh, bool aLeastUrgent);

} // namespace lacewing

#endif // ADMISSION_REQUIREDQUALITY_H
