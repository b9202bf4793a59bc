#ifndef BALANCE_PROBEBUDGETS_H
#define BALANCE_PROBEBUDGETS_H

#include "balance/ProbeBudget.h"
#include "lacewing/ServiceId.h"

#include <map>
#include <memory>

namespace lacewing {

/** The probe budgets of all services. */
class ProbeBudgets
{
public:
  explicit ProbeBudgets(const ProbeLimits& aLimits)
    : limits_(aLimits)
  {
  }

  void SetLimits(const ProbeLimits& aLimits) { limits_ = aLimits; }

  /** The service's budget, up to date; null without a limit. */
  std::shared_ptr<ProbeBudget> Of(const ServiceId& aService,
                                  const ProbeShare& aShare,
                                  TimePoint aNow);

private:
  ProbeLimits limits_;
  std::map<ServiceId, std::shared_ptr<ProbeBudget>> budgets_;
};

} // namespace lacewing

#endif // BALANCE_PROBEBUDGETS_H
