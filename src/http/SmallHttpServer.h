#ifndef HTTP_SMALLHTTPSERVER_H
#define HTTP_SMALLHTTPSERVER_H

#include "http/HttpMessage.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewing {

/**
 * Serves small pages on the control thread: readiness, metrics, and what peers
 * ask for. Requests have no large bodies; answers may come later.
 */
class SmallHttpServer
{
public:
  using Responder = std::function<void(HttpMessage)>;
  using Handler = std::function<void(HttpMessage, Responder)>;

  // A peer or the platform asks every few seconds at least.
  static constexpr Duration kDefaultTimeout = std::chrono::seconds(30);

  /**
   * Listens at once; fails when the address cannot be bound. A connection is
   * closed when it is idle for aTimeout, or when its peer takes that long to
   * receive an answer.
   */
  static Outcome<std::unique_ptr<SmallHttpServer>> Make(
    asio::io_context& aContext,
    const Endpoint& aEndpoint,
    Handler aHandler,
    Duration aTimeout = kDefaultTimeout);

  ~SmallHttpServer();
  SmallHttpServer(const SmallHttpServer&) = delete;
  SmallHttpServer& operator=(const SmallHttpServer&) = delete;

  std::uint16_t Port() const;

private:
  struct Impl;
  explicit SmallHttpServer(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HTTP_SMALLHTTPSERVER_H
