#ifndef GATEWAY_RESPONSEWRITER_H
#define GATEWAY_RESPONSEWRITER_H

#include "http/HttpMessage.h"

#include <asio/error_code.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lacewing {

/** Writes the responses on a caller's connection, one at a time. */
class ResponseWriter
{
public:
  using Handler = std::function<void(const asio::error_code&)>;

  explicit ResponseWriter(asio::ip::tcp::socket& aSocket);

  /**
   * Writes aResponse, without its body if aHeadOnly is set. aHandler keeps the
   * writer's owner alive and gets the result.
   */
  void Write(HttpMessage aResponse, bool aHeadOnly, Handler aHandler);

  /** Whether a response is being written. */
  bool Writing() const { return writing_; }

private:
  void OnWritten();

  asio::ip::tcp::socket& socket_;
  std::string head_;
  std::string body_;
  /** The body's share of the memory for bodies. */
  std::shared_ptr<BufferCharge> charge_;
  bool writing_ = false;
};

} // namespace lacewing

#endif // GATEWAY_RESPONSEWRITER_H
