#ifndef HTTP_HTTPCALLER_H
#define HTTP_HTTPCALLER_H

#include "http/ConnectionOptions.h"
#include "http/ExchangeResult.h"
#include "http/HttpMessage.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

/**
 * Calls one server over a kept connection, one call at a time, each with a
 * timeout. A call that finds its connection closed is not repeated.
 */
class HttpCaller
{
public:
  using Handler = std::function<void(ExchangeResult)>;

  HttpCaller(asio::io_context& aContext,
             const ConnectionOptions& aOptions,
             const Clock& aClock);
  /** Drops a running call; its handler is not called any more. */
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /** Must not be called while a call is running. */
  void Call(HttpMessage aRequest, Duration aTimeout, Handler aHandler);

  bool Busy() const;
  const Endpoint& Server() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HTTP_HTTPCALLER_H
