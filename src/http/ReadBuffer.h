#ifndef HTTP_READBUFFER_H
#define HTTP_READBUFFER_H

#include <array>

namespace lacewing {

/**
 * A buffer that all connections of a thread read into, one after the other,
 * once a socket is readable: idle connections then hold no buffer of their
 * own, and peak memory is priced.
 */
using ReadBuffer = std::array<char, 16384>;

ReadBuffer& ThreadReadBuffer();

} // namespace lacewing

#endif // HTTP_READBUFFER_H
