#ifndef BALANCE_COLDSTARTLIMITS_H
#define BALANCE_COLDSTARTLIMITS_H

namespace lacewing {

/** Limits what all hosts together send to a cold target in any second. */
struct ColdStartLimits
{
  /** Multiple of the target's warm-up rate. */
  double overshoot = 1;
  /** Requests allowed in addition to that multiple. */
  double slack = 0;
};

} // namespace lacewing

#endif // BALANCE_COLDSTARTLIMITS_H
