#ifndef SPILL_WAITCURVE_H
#define SPILL_WAITCURVE_H

namespace lacewing {

/**
 * The mean wait of a request at a zone's targets, as a multiple of the service
 * time, when the part aUtilization of their slots is taken. Sakasegawa's
 * approximation of a queue with several servers (1977).
 */
double MeanWait(double aUtilization);

/**
 * By how much one more request prolongs the waits of all together, its own
 * included, as a multiple of the service time; grows with aUtilization.
 */
double MarginalWait(double aUtilization);

/** The utilization, 0 to below 1, at which MarginalWait is aWait. */
double UtilizationAt(double aWait);

} // namespace lacewing

#endif // SPILL_WAITCURVE_H
