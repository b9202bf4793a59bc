#ifndef HTTP_SOCKETOPTIONS_H
#define HTTP_SOCKETOPTIONS_H

#include <asio/ip/tcp.hpp>

namespace lacewing {

/**
 * Sends small segments at once and lets the kernel find connections that went
 * silent within about three seconds.
 */
void SetStreamOptions(asio::ip::tcp::socket& aSocket);

} // namespace lacewing

#endif // HTTP_SOCKETOPTIONS_H
