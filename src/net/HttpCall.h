#ifndef NET_HTTPCALL_H
#define NET_HTTPCALL_H

#include "http/HttpFields.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Endpoint.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/** A request for an HttpClient to send. */
struct HttpCall
{
  Endpoint endpoint;
  std::string method = "GET";
  /** Path and query. */
  std::string target = "/";
  HttpFields fields;
  /** Null stands for no body. */
  std::shared_ptr<const std::string> body;
  /** Time for the whole call. */
  std::chrono::milliseconds timeout{ 30000 };
  std::chrono::milliseconds connectTimeout{ 1000 };
  ByteCount maxResponseBody{ 16U << 20U };
  /**
   * Asked before further bytes of the answer's body are kept; false ends the
   * call as kTooLarge. May be null.
   */
  std::function<bool(ByteCount)> reserve;
  /**
   * A field that the answer has to repeat. An answer without it belongs to
   * another request: the call is lost and its connection closed.
   */
  std::optional<HttpField> echo;
  /** When false the request is put on the wire at most once. */
  bool idempotent = false;
};

} // namespace lacewing

#endif // NET_HTTPCALL_H
