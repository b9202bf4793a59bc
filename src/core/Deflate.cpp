#include "core/Deflate.h"

#include <zlib.h>

#include <array>

namespace lacewing {

namespace {

// The fastest level: a host packs while it serves callers.
constexpr int kLevel = 1;
constexpr std::size_t kStep = 64U << 10U;

/** zlib's input pointer is not const, though it only reads. */
Bytef* InputOf(std::string_view aBytes)
{
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aBytes.data()));
}

} // namespace

std::string Deflate(std::string_view aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()),
            &size,
            InputOf(aBytes),
            aBytes.size(),
            kLevel);
  packed.resize(size);
  return packed;
}

Outcome<std::string> Inflate(std::string_view aBytes, ByteCount aMost)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Fail(
      ErrorKind::kInternal, "zlib cannot start", "check the host's memory");
  }
  stream.next_in = InputOf(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string unpacked;
  int state = Z_OK;
  while (state == Z_OK && unpacked.size() <= aMost.value()) {
    const std::size_t before = unpacked.size();
    unpacked.resize(before + kStep);
    stream.next_out = reinterpret_cast<Bytef*>(unpacked.data() + before);
    stream.avail_out = kStep;
    state = inflate(&stream, Z_NO_FLUSH);
    unpacked.resize(before + kStep - stream.avail_out);
  }
  inflateEnd(&stream);
  if (unpacked.size() > aMost.value()) {
    return Fail(ErrorKind::kTooLarge,
                "packed bytes unpack to more than " +
                  std::to_string(aMost.value()),
                "check that all hosts run releases that fit");
  }
  if (state != Z_STREAM_END) {
    return Fail(ErrorKind::kInvalidMessage,
                "packed bytes cannot be unpacked",
                "check that all hosts run releases that fit");
  }
  return unpacked;
}

} // namespace lacewing
