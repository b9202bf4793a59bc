#ifndef STANDIN_ADMINROUTE_H
#define STANDIN_ADMINROUTE_H

#include "net/HttpRequest.h"
#include "net/HttpResponse.h"
#include "standin/Answers.h"
#include "standin/RequestTarget.h"

#include <string>
#include <string_view>

namespace lacewing {

/** One admin request that Owner answers at once. */
template<class Owner>
struct AdminRoute
{
  const char* method;
  std::string_view path;
  /** When false, path is the beginning of the request's path. */
  bool wholePath;
  /** The second argument is the request's decoded path. */
  HttpResponse (Owner::*handle)(const HttpRequest&, const std::string&);
};

/** Answers with the first route that fits, else 404. */
template<class Owner, class Table>
HttpResponse AnswerByRoute(Owner& aOwner,
                           const Table& aRoutes,
                           const HttpRequest& aRequest)
{
  const std::string path = RequestTarget::Parse(aRequest.target).path;
  for (const AdminRoute<Owner>& route : aRoutes) {
    const bool samePath =
      route.wholePath ? path == route.path : path.rfind(route.path, 0) == 0;
    if (samePath && aRequest.method == route.method) {
      return (aOwner.*route.handle)(aRequest, path);
    }
  }
  return StatusAnswer(404);
}

} // namespace lacewing

#endif // STANDIN_ADMINROUTE_H
