#ifndef FLEET_PULLREQUEST_H
#define FLEET_PULLREQUEST_H

#include "catalog/StorePosition.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/** The path of requests for the changes of the catalog, without the query. */
constexpr const char* kPullPath = "/catalog";

/** The target of a request for all changes after aKnown, by CatalogKind. */
std::string WritePullTarget(const std::vector<StorePosition>& aKnown);

/** Reads what WritePullTarget has written; empty if aTarget is malformed. */
std::optional<std::vector<StorePosition>> ReadPullTarget(
  std::string_view aTarget);

/** Whether a message has an entry for each kind, with or without rollouts. */
bool IsNumberOfKinds(std::size_t aEntries);

} // namespace lacewing

#endif // FLEET_PULLREQUEST_H
