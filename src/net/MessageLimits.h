#ifndef NET_MESSAGELIMITS_H
#define NET_MESSAGELIMITS_H

#include <cstddef>

namespace lacewing {

/** Largest frame; checked against the frame's header before it is read. */
constexpr std::size_t kMaxMessageBytes = 1U << 20U;

/** Deepest nesting of maps and arrays; ours use at most five levels. */
constexpr std::size_t kMaxMessageDepth = 16;

/**
 * Most values in a frame. A one-byte CBOR value takes 16 to 64 bytes once
 * decoded, so this bounds the memory of a hostile frame to about 8 MiB.
 */
constexpr std::size_t kMaxMessageValues = 1U << 17U;

/**
 * Bytes queued for one connection before it is closed as a slow reader. The
 * largest configuration (580 services at 4 KB) fits.
 */
constexpr std::size_t kMaxSendQueueBytes = 4U << 20U;

} // namespace lacewing

#endif // NET_MESSAGELIMITS_H
