#ifndef NET_HTTPSERVER_H
#define NET_HTTPSERVER_H

#include "lacewing/Outcome.h"
#include "net/HttpRequest.h"
#include "net/HttpResponder.h"
#include "net/HttpServerOptions.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewing {

using HttpHandler =
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/** HTTP/1.1 server that calls its handler on the thread of its io_context. */
class HttpServer
{
public:
  /** Listens at once; fails when the address cannot be bound. */
  static Outcome<std::unique_ptr<HttpServer>> Make(
    asio::io_context& aContext,
    const HttpServerOptions& aOptions,
    HttpHandler aHandler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** The port listened on, chosen by the kernel when the endpoint's is 0. */
  std::uint16_t Port() const;

  /** Stops listening; open connections go on. */
  void Close();

  std::size_t OpenConnections() const;

  /** Requests that have begun to arrive; counted with a readBudget only. */
  std::size_t UnfinishedRequests() const;

  /** Connections since the start. */
  std::uint64_t AcceptedConnections() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // NET_HTTPSERVER_H
