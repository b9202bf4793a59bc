#ifndef DECISION_RETRYBUDGET_H
#define DECISION_RETRYBUDGET_H

#include "lacewing/BasisPoints.h"

namespace lacewing {

/** Token bucket that bounds retries to a share of the requests. */
class RetryBudget
{
public:
  explicit RetryBudget(BasisPoints aShare);

  /** A new request adds its share of a retry. */
  void OnRequest();
  /** Takes one retry; false when the budget is used up. */
  bool Take();

private:
  BasisPoints share_;
  /** In ten thousandths of a retry. */
  std::uint64_t credit_;
};

} // namespace lacewing

#endif // DECISION_RETRYBUDGET_H
