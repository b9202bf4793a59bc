#include "balance/ProbeBudgets.h"

namespace lacewing {

std::shared_ptr<ProbeBudget> ProbeBudgets::Of(const ServiceId& aService,
                                              const ProbeShare& aShare,
                                              TimePoint aNow)
{
  if (limits_.perTarget <= 0) {
    budgets_.clear();
    return nullptr;
  }
  std::shared_ptr<ProbeBudget>& budget = budgets_[aService];
  if (budget) {
    budget->Update(limits_, aShare, aNow);
  } else {
    budget = std::make_shared<ProbeBudget>(limits_, aShare, aNow);
  }
  return budget;
}

} // namespace lacewing
