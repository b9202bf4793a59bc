#ifndef NET_HTTPCLIENT_H
#define NET_HTTPCLIENT_H

#include "net/HttpCall.h"
#include "net/HttpCallId.h"
#include "net/HttpCallResult.h"
#include "net/HttpClientOptions.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

using HttpCallHandler = std::function<void(HttpCallResult)>;

/**
 * HTTP/1.1 client with kept connections. Used from the thread of its
 * io_context only, where it calls the handlers; never from within Start.
 */
class HttpClient
{
public:
  HttpClient(asio::io_context& aContext, const HttpClientOptions& aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCallId Start(HttpCall aCall, HttpCallHandler aHandler);

  /** Closes the call's connection; its handler is not called. */
  void Cancel(HttpCallId aCall);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // NET_HTTPCLIENT_H
