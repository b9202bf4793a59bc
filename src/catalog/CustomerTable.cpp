#include "catalog/CustomerTable.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

/**
 * Whether a header field carries the text unchanged: control characters would
 * end the field, and spaces around it are not part of its value.
 */
bool IsFieldValue(std::string_view aText)
{
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::none_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return aChar < ' ' || aChar == '\x7f';
         });
}

bool IsName(const CustomerId& aCustomer)
{
  return aCustomer.value().size() <= CustomerTable::kMaxNameSize &&
         IsFieldValue(aCustomer.value());
}

std::optional<KeyFault> FaultOf(const std::string& aKey)
{
  if (aKey.empty()) {
    return KeyFault::kEmpty;
  }
  if (aKey.size() > CustomerTable::kMaxKeySize) {
    return KeyFault::kTooLong;
  }
  if (!IsFieldValue(aKey)) {
    return KeyFault::kNotSendable;
  }
  return std::nullopt;
}

} // namespace

CustomerTable::CustomerTable(std::vector<CustomerSpec> aCustomers)
{
  std::vector<CustomerSpec> nameless;
  customers_.reserve(aCustomers.size());
  for (CustomerSpec& customer : aCustomers) {
    if (IsName(customer.id)) {
      Merge(std::move(customer));
    } else {
      nameless.push_back(std::move(customer));
    }
  }
  IndexKeys(nameless);
  for (const CustomerSpec& customer : nameless) {
    for (std::size_t i = 0; i < customer.keys.size(); ++i) {
      problems_.push_back({ customer.id, i + 1, KeyFault::kBadName });
    }
  }
  ListProblems();
}

void CustomerTable::Merge(CustomerSpec aCustomer)
{
  const auto [entry, isNew] = byId_.emplace(aCustomer.id, customers_.size());
  if (isNew) {
    customers_.push_back(std::move(aCustomer));
    return;
  }
  auto& keys = customers_[entry->second].keys;
  keys.insert(keys.end(),
              std::make_move_iterator(aCustomer.keys.begin()),
              std::make_move_iterator(aCustomer.keys.end()));
}

void CustomerTable::IndexKeys(const std::vector<CustomerSpec>& aNameless)
{
  std::size_t count = 0;
  for (const CustomerSpec& customer : customers_) {
    count += customer.keys.size();
  }
  byKey_.reserve(count);
  for (const CustomerSpec& customer : customers_) {
    for (const std::string& key : customer.keys) {
      if (FaultOf(key)) {
        continue;
      }
      const auto [entry, isNew] = byKey_.emplace(key, &customer);
      if (!isNew && entry->second != &customer) {
        entry->second = nullptr;
      }
    }
  }
  // It cannot be told which of the two customers was meant.
  for (const CustomerSpec& customer : aNameless) {
    for (const std::string& key : customer.keys) {
      const auto found = byKey_.find(key);
      if (found != byKey_.end()) {
        found->second = nullptr;
      }
    }
  }
}

void CustomerTable::ListProblems()
{
  for (const CustomerSpec& customer : customers_) {
    for (std::size_t i = 0; i < customer.keys.size(); ++i) {
      if (const auto fault = FaultOf(customer.keys[i])) {
        problems_.push_back({ customer.id, i + 1, *fault });
      } else if (FindByKey(customer.keys[i]) == nullptr) {
        problems_.push_back({ customer.id, i + 1, KeyFault::kAmbiguous });
      } else {
        leastUrgent_ = std::max(leastUrgent_, customer.priority);
      }
    }
  }
}

const CustomerSpec* CustomerTable::FindByKey(std::string_view aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : found->second;
}

const CustomerSpec* CustomerTable::Find(const CustomerId& aCustomer) const
{
  const auto found = byId_.find(aCustomer);
  return found == byId_.end() ? nullptr : &customers_[found->second];
}

} // namespace lacewing
