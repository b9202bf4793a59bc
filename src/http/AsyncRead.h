#ifndef HTTP_ASYNCREAD_H
#define HTTP_ASYNCREAD_H

#include "http/ReadBuffer.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include <string_view>
#include <utility>

namespace lacewing {

/**
 * Reads what has arrived into the thread's buffer once there is something.
 * aHandler gets the error and the bytes, which stay valid while it runs.
 */
template<class Handler>
void AsyncRead(asio::ip::tcp::socket& aSocket, Handler aHandler)
{
  aSocket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [&aSocket, handler = std::move(aHandler)](asio::error_code aError) mutable {
      std::size_t count = 0;
      ReadBuffer& buffer = ThreadReadBuffer();
      if (!aError) {
        count = aSocket.read_some(asio::buffer(buffer), aError);
      }
      if (aError == asio::error::would_block ||
          aError == asio::error::try_again) {
        AsyncRead(aSocket, std::move(handler));
        return;
      }
      handler(aError, std::string_view(buffer.data(), count));
    });
}

} // namespace lacewing

#endif // HTTP_ASYNCREAD_H
