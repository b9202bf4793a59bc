#ifndef BALANCE_PROBELIMITS_H
#define BALANCE_PROBELIMITS_H

namespace lacewing {

/** Limits the probes that all hosts together send. */
struct ProbeLimits
{
  /** Probes per target and second, in the mean; zero: no limit. */
  double perTarget = 0;
};

} // namespace lacewing

#endif // BALANCE_PROBELIMITS_H
