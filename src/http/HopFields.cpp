#include "http/HopFields.h"

#include "http/TrimBlanks.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace lacewing {

namespace {

constexpr std::array<std::string_view, 11> kHopFields = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Proxy-Authorization",
  "Proxy-Authenticate",
  "Expect",
  "Content-Length",
};

bool IsHopField(std::string_view aName)
{
  return std::any_of(
    kHopFields.begin(), kHopFields.end(), [aName](std::string_view aHop) {
      return SameFieldName(aHop, aName);
    });
}

/** Removes the fields that a Connection value lists, separated by commas. */
void RemoveListed(std::string_view aList, HttpFields& aFields)
{
  while (!aList.empty()) {
    const std::size_t comma = std::min(aList.find(','), aList.size());
    const std::string_view name = TrimBlanks(aList.substr(0, comma));
    if (!name.empty()) {
      aFields.Remove(name);
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
}

} // namespace

HttpFields EndToEndFields(HttpFields aFields)
{
  std::vector<std::string> lists;
  for (const HttpField& field : aFields) {
    if (SameFieldName(field.name, "Connection")) {
      lists.push_back(field.value);
    }
  }
  aFields.RemoveIf(
    [](const HttpField& aField) { return IsHopField(aField.name); });
  for (const std::string& list : lists) {
    RemoveListed(list, aFields);
  }
  return aFields;
}

} // namespace lacewing
