#ifndef FLEET_PEERSOCKET_H
#define FLEET_PEERSOCKET_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/** UDP socket for the datagrams between hosts. */
class PeerSocket
{
public:
  using Handler = std::function<void(std::string_view)>;

  static Outcome<std::unique_ptr<PeerSocket>> Make(asio::io_context& aContext,
                                                   const Endpoint& aEndpoint,
                                                   Handler aHandler);

  /**
   * Sends a datagram. One that cannot be sent now is dropped, like one that the
   * network loses.
   */
  void Send(const Endpoint& aTo, const std::string& aBytes);

  std::uint64_t SendErrors() const { return sendErrors_; }

private:
  PeerSocket(asio::io_context& aContext, Handler aHandler);
  void Receive();

  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::array<char, 16384> buffer_{};
  Handler handler_;
  std::uint64_t sendErrors_ = 0;
};

} // namespace lacewing

#endif // FLEET_PEERSOCKET_H
