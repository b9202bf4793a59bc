#ifndef STORE_STOREANSWERSPRIV_H
#define STORE_STOREANSWERSPRIV_H

#include "lacewing/ObjectKey.h"
#include "lacewing/Outcome.h"
#include "net/HttpCallResult.h"
#include "store/ListedHost.h"
#include "store/ObjectValue.h"

#include <utility>
#include <vector>

namespace lacewing {

/**
 * The answer when its status is a success or 304, else the error that
 * ObjectStore promises. aWrite tells whether a lost answer leaves the call's
 * effect unknown.
 */
Outcome<HttpResponse> CheckAnswer(HttpCallResult aResult, bool aWrite);

/** The object of a 200 answer. */
Outcome<ObjectValue> ReadObject(HttpResponse aResponse);

/** The tag in the answer to a write. */
Outcome<ObjectTag> ReadTag(const HttpResponse& aResponse);

Outcome<std::vector<std::pair<ObjectKey, ObjectTag>>> ReadList(
  const HttpResponse& aResponse);

Outcome<std::vector<ListedHost>> ReadHosts(const HttpResponse& aResponse);

} // namespace lacewing

#endif // STORE_STOREANSWERSPRIV_H
