#ifndef GATEWAY_CALLERIDENTITY_H
#define GATEWAY_CALLERIDENTITY_H

#include "catalog/CustomerSpec.h"
#include "catalog/RouteSpec.h"
#include "catalog/RouteTable.h"
#include "http/HttpHead.h"

#include <string_view>

namespace lacewing {

/** The header field in which callers send their key. */
constexpr const char* kKeyField = "Authorization";

/** For whom a request runs. */
struct CallerIdentity
{
  /** Null for a request without a customer; valid as long as the routes. */
  const CustomerSpec* customer = nullptr;
  /** The route needs a key, and the request has not exactly one valid key. */
  bool refused = false;
};

/**
 * Identifies the caller of a request on aRoute, which is one of aRoutes. The
 * key on a public route is not looked at, so an outdated one does no harm.
 */
CallerIdentity IdentifyCaller(const HttpHead& aRequest,
                              const RouteSpec& aRoute,
                              const RouteTable& aRoutes);

/**
 * Removes what a caller has sent as its key or under aCustomerField. Names with
 * blanks, which the parser accepts, or with underscores for hyphens count too,
 * since a target may take them for the same name.
 */
void RemoveIdentity(HttpFields& aFields, std::string_view aCustomerField);

} // namespace lacewing

#endif // GATEWAY_CALLERIDENTITY_H
