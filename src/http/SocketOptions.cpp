#include "http/SocketOptions.h"

#include <netinet/tcp.h>

namespace lacewing {

namespace {

using KeepAliveIdle =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

// Seconds and probes: a connection without an acknowledgement ends after
// 1 + 2 x 1 s, inside the shortest bound that hosts keep for reactions (2 s
// plus the 3 s for which a host counts as out of touch).
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 2;

} // namespace

void SetStreamOptions(asio::ip::tcp::socket& aSocket)
{
  // An option that the kernel refuses leaves a slower but working connection.
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(KeepAliveIdle(kIdleSeconds), ignored);
  aSocket.set_option(KeepAliveInterval(kIntervalSeconds), ignored);
  aSocket.set_option(KeepAliveCount(kProbes), ignored);
}

} // namespace lacewing
