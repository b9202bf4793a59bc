#include "fleet/PeerSocket.h"

#include <asio/buffer.hpp>

#include <utility>

namespace lacewing {

PeerSocket::PeerSocket(asio::io_context& aContext, Handler aHandler)
  : socket_(aContext)
  , handler_(std::move(aHandler))
{
}

Outcome<std::unique_ptr<PeerSocket>> PeerSocket::Make(
  asio::io_context& aContext,
  const Endpoint& aEndpoint,
  Handler aHandler)
{
  std::unique_ptr<PeerSocket> made(
    new PeerSocket(aContext, std::move(aHandler)));
  asio::error_code error;
  const asio::ip::udp::endpoint endpoint(
    asio::ip::make_address(aEndpoint.address, error), aEndpoint.port);
  if (!error) {
    made->socket_.open(endpoint.protocol(), error);
  }
  if (!error) {
    made->socket_.bind(endpoint, error);
  }
  if (!error) {
    made->socket_.non_blocking(true, error);
  }
  if (error) {
    return Fail(
      ErrorKind::kUnavailable,
      "cannot receive datagrams on " + aEndpoint.ToString() + ": " +
        error.message(),
      "check that the address belongs to this host and its port is not in use");
  }
  made->Receive();
  return made;
}

void PeerSocket::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_),
    from_,
    [this](const asio::error_code& aError, std::size_t aCount) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        handler_({ buffer_.data(), aCount });
      }
      Receive();
    });
}

void PeerSocket::Send(const Endpoint& aTo, const std::string& aBytes)
{
  asio::error_code error;
  const asio::ip::udp::endpoint to(asio::ip::make_address(aTo.address, error),
                                   aTo.port);
  if (!error) {
    socket_.send_to(asio::buffer(aBytes), to, 0, error);
  }
  sendErrors_ += error ? 1 : 0;
}

} // namespace lacewing
