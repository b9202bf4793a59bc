#include "check/CustomerCheck.h"

#include "catalog/CustomerTable.h"
#include "check/Place.h"

#include <algorithm>
#include <set>
#include <string>

namespace lacewing {

namespace {

struct FaultText
{
  KeyFault fault;
  const char* text;
  const char* remedy;
};

constexpr FaultText kFaultTexts[] = {
  { KeyFault::kEmpty, "is empty or not a text", "remove it" },
  { KeyFault::kTooLong, "is longer than 512 bytes", "issue a shorter one" },
  { KeyFault::kNotSendable,
    "has control characters or a space at an end",
    "issue another one" },
  { KeyFault::kAmbiguous,
    "is also a key of another customer",
    "issue another one to one of them; hosts refuse it for both" },
  { KeyFault::kBadName,
    "belongs to a customer whose name is empty or cannot be a header field",
    "correct the customer's name" },
};

void CheckKeys(const std::vector<CustomerSpec>& aCustomers, Findings& aFindings)
{
  const CustomerTable table(aCustomers);
  for (const KeyProblem& problem : table.Problems()) {
    for (const FaultText& text : kFaultTexts) {
      if (text.fault == problem.fault) {
        aFindings.push_back(
          { FindingSeverity::kError,
            "customer \"" + problem.customer.value() + "\"",
            "key " + std::to_string(problem.number) + " " + text.text,
            text.remedy });
      }
    }
  }
}

void CheckLimit(const CustomerSpec& aCustomer, Findings& aFindings)
{
  if (aCustomer.limit.IsSet() && aCustomer.limit.burst < 1) {
    aFindings.push_back({ FindingSeverity::kError,
                          PlaceOf(aCustomer),
                          "the burst is below 1, so the rate admits nothing",
                          "set a burst of at least 1, or remove the rate" });
  }
}

bool HasPublicRoute(const ConfigurationSpec& aSpec)
{
  return std::any_of(aSpec.routes.begin(),
                     aSpec.routes.end(),
                     [](const RouteSpec& aRoute) { return aRoute.isPublic; });
}

} // namespace

void CheckCustomers(const ConfigurationSpec& aSpec, Findings& aFindings)
{
  if (!aSpec.customers) {
    return;
  }
  const bool hasPublicRoute = HasPublicRoute(aSpec);
  std::set<CustomerId> names;
  for (const CustomerSpec& customer : *aSpec.customers) {
    if (!names.insert(customer.id).second) {
      aFindings.push_back(
        { FindingSeverity::kError,
          PlaceOf(customer),
          "an earlier customer has the same name",
          "merge them; hosts use the first one's priority and limit" });
    }
    if (customer.keys.empty() && !hasPublicRoute) {
      aFindings.push_back({ FindingSeverity::kError,
                            PlaceOf(customer),
                            "has no key, and no route is public",
                            "issue a key, or remove the customer" });
    }
    CheckLimit(customer, aFindings);
  }
  CheckKeys(*aSpec.customers, aFindings);
}

} // namespace lacewing
