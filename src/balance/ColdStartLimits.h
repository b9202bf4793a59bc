#ifndef BALANCE_COLDSTARTLIMITS_H
#define BALANCE_COLDSTARTLIMITS_H

namespace lacewing {

/** What all hosts together may send to a cold target in any second. */
struct ColdStartLimits
{
  /** Times the target's warm-up rate. */
  double overshoot = 1;
  /** Requests on top of it. */
  double slack = 0;
};

} // namespace lacewing

#endif // BALANCE_COLDSTARTLIMITS_H
