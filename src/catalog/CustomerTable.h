#ifndef CATALOG_CUSTOMERTABLE_H
#define CATALOG_CUSTOMERTABLE_H

#include "catalog/CustomerSpec.h"
#include "catalog/KeyProblem.h"
#include "lacewing/CustomerId.h"
#include "lacewing/Priority.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/**
 * The customers of one configuration version by key and by id; immutable.
 * Customers without a name that a header field can carry are left out. Entries
 * of the same name are one customer with the keys of all and the priority and
 * the limit of the first.
 */
class CustomerTable
{
public:
  /** Longest key that is accepted, in bytes. */
  static constexpr std::size_t kMaxKeySize = 512;
  /** Longest name of a customer, in bytes. */
  static constexpr std::size_t kMaxNameSize = 512;

  CustomerTable() = default;
  explicit CustomerTable(std::vector<CustomerSpec> aCustomers);
  CustomerTable(CustomerTable&&) = default;
  CustomerTable& operator=(CustomerTable&&) = default;

  /**
   * Returns the customer that has this key; null if no customer has it, or
   * more than one, or if it is unusable. Takes one hash look-up.
   */
  const CustomerSpec* FindByKey(std::string_view aKey) const;

  /** Returns null if there is no customer of that id. */
  const CustomerSpec* Find(const CustomerId& aCustomer) const;

  /** The priority of the least urgent customer that has a usable key. */
  Priority LeastUrgent() const { return leastUrgent_; }

  /** The keys that identify no customer. */
  const std::vector<KeyProblem>& Problems() const { return problems_; }

  std::vector<CustomerSpec>::const_iterator begin() const
  {
    return customers_.begin();
  }
  std::vector<CustomerSpec>::const_iterator end() const
  {
    return customers_.end();
  }
  std::size_t size() const { return customers_.size(); }

private:
  /** Adds a customer, or its keys to the one of the same name. */
  void Merge(CustomerSpec aCustomer);
  void IndexKeys(const std::vector<CustomerSpec>& aNameless);
  void ListProblems();

  std::vector<CustomerSpec> customers_;
  /** Indexes of customers_. */
  std::unordered_map<CustomerId, std::size_t> byId_;
  /**
   * Refers to the texts in customers_, which stay in place when the table is
   * moved. Null for a key of two customers.
   */
  std::unordered_map<std::string_view, const CustomerSpec*> byKey_;
  std::vector<KeyProblem> problems_;
  Priority leastUrgent_;
};

} // namespace lacewing

#endif // CATALOG_CUSTOMERTABLE_H
