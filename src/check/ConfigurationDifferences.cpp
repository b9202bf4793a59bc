#include "check/ConfigurationDifferences.h"

#include "check/FieldTexts.h"
#include "check/Place.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

void Add(Findings& aFindings, std::string aPlace, std::string aText)
{
  aFindings.push_back(
    { FindingSeverity::kDifference, std::move(aPlace), std::move(aText), {} });
}

void CompareFields(const std::string& aPlace,
                   const FieldTexts& aCurrent,
                   const FieldTexts& aNext,
                   Findings& aFindings)
{
  for (std::size_t i = 0; i < aCurrent.size(); ++i) {
    if (aCurrent[i].second != aNext[i].second) {
      Add(aFindings,
          aPlace,
          std::string(aNext[i].first) + ": \"" + aCurrent[i].second +
            "\" becomes \"" + aNext[i].second + "\"");
    }
  }
}

/** The first entry of each place. */
template<class Spec>
std::map<std::string, const Spec*> ByPlace(const std::vector<Spec>& aEntries)
{
  std::map<std::string, const Spec*> entries;
  for (const Spec& entry : aEntries) {
    entries.emplace(PlaceOf(entry), &entry);
  }
  return entries;
}

template<class Spec>
void CompareMore(const Spec&, const Spec&, Findings&)
{
}

/** The keys by number, since they are secret. */
void CompareMore(const CustomerSpec& aCurrent,
                 const CustomerSpec& aNext,
                 Findings& aFindings)
{
  const std::set<std::string> current(aCurrent.keys.begin(),
                                      aCurrent.keys.end());
  const std::set<std::string> next(aNext.keys.begin(), aNext.keys.end());
  const auto count = [](const auto& aKeys, const auto& aOthers) {
    return std::count_if(aKeys.begin(), aKeys.end(), [&](const auto& aKey) {
      return aOthers.count(aKey) == 0;
    });
  };
  const auto added = count(next, current);
  const auto removed = count(current, next);
  if (added != 0 || removed != 0) {
    Add(aFindings,
        PlaceOf(aNext),
        "keys: " + std::to_string(added) + " added, " +
          std::to_string(removed) + " removed");
  }
}

template<class Spec>
void CompareEntries(const std::vector<Spec>& aCurrent,
                    const std::vector<Spec>& aNext,
                    Findings& aFindings)
{
  const auto current = ByPlace(aCurrent);
  const auto next = ByPlace(aNext);
  for (const auto& [place, entry] : current) {
    const auto found = next.find(place);
    if (found == next.end()) {
      Add(aFindings, place, "is removed");
      continue;
    }
    CompareFields(place, FieldsOf(*entry), FieldsOf(*found->second), aFindings);
    CompareMore(*entry, *found->second, aFindings);
  }
  for (const auto& [place, entry] : next) {
    if (current.count(place) == 0) {
      Add(aFindings, place, "is added");
    }
  }
}

void CompareCustomers(const ConfigurationSpec& aCurrent,
                      const ConfigurationSpec& aNext,
                      Findings& aFindings)
{
  if (aCurrent.customers.has_value() != aNext.customers.has_value()) {
    Add(aFindings,
        "customers",
        aNext.customers ? "requests need keys from now on"
                        : "requests need no keys any more");
  }
  CompareEntries(aCurrent.customers.value_or(std::vector<CustomerSpec>()),
                 aNext.customers.value_or(std::vector<CustomerSpec>()),
                 aFindings);
}

} // namespace

Findings CompareConfigurations(const ConfigurationSpec& aCurrent,
                               const ConfigurationSpec& aNext)
{
  Findings findings;
  CompareEntries(aCurrent.routes, aNext.routes, findings);
  CompareEntries(aCurrent.services, aNext.services, findings);
  CompareCustomers(aCurrent, aNext, findings);
  CompareFields(
    "limits", FieldsOf(aCurrent.limits), FieldsOf(aNext.limits), findings);
  const bool isNew = !findings.empty() || aNext.version != aCurrent.version;
  if (isNew && aNext.version <= aCurrent.version) {
    Add(findings,
        "version",
        "does not increase: " + std::to_string(aCurrent.version.value()) +
          " becomes " + std::to_string(aNext.version.value()));
  }
  return findings;
}

} // namespace lacewing
