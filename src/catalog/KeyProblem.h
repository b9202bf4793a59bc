#ifndef CATALOG_KEYPROBLEM_H
#define CATALOG_KEYPROBLEM_H

#include "catalog/KeyFault.h"
#include "lacewing/CustomerId.h"

#include <cstddef>
#include <tuple>

namespace lacewing {

/** A key that identifies no customer; names its place and never its text. */
struct KeyProblem
{
  CustomerId customer;
  /** The key's place in the customer's list, counted from 1. */
  std::size_t number = 0;
  KeyFault fault = KeyFault::kEmpty;

  friend bool operator<(const KeyProblem& aLeft, const KeyProblem& aRight)
  {
    return std::tie(aLeft.customer, aLeft.number, aLeft.fault) <
           std::tie(aRight.customer, aRight.number, aRight.fault);
  }
  friend bool operator==(const KeyProblem& aLeft, const KeyProblem& aRight)
  {
    return aLeft.customer == aRight.customer && aLeft.number == aRight.number &&
           aLeft.fault == aRight.fault;
  }
};

} // namespace lacewing

#endif // CATALOG_KEYPROBLEM_H
