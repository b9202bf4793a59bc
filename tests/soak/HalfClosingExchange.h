#ifndef TESTS_SOAK_HALFCLOSINGEXCHANGE_H
#define TESTS_SOAK_HALFCLOSINGEXCHANGE_H

#include "http/ExchangeResult.h"
#include "http/MessageParser.h"
#include "http/OutgoingRequest.h"
#include "lacewing/Endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/**
 * One request on a connection of its own, whose sending side ends soon after
 * the request while the response is still read.
 */
class HalfClosingExchange
  : public std::enable_shared_from_this<HalfClosingExchange>
{
public:
  using Handler = std::function<void(const ExchangeResult&)>;

  HalfClosingExchange(asio::io_context& aContext,
                      const OutgoingRequest& aRequest,
                      Handler aHandler);

  void Start(const Endpoint& aHost);

  /** Closes the connection; the handler is not called any more. */
  void Abandon();

private:
  void Write();
  void Read();
  void OnRead(const asio::error_code& aError, std::string_view aBytes);
  void Finish(ExchangeEnd aEnd);

  asio::io_context& context_;
  asio::ip::tcp::socket socket_;
  const std::string bytes_;
  Handler handler_;
  MessageParser parser_;
};

} // namespace lacewing

#endif // TESTS_SOAK_HALFCLOSINGEXCHANGE_H
