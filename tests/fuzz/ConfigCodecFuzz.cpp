#include "config/BlobCodec.h"
#include "config/HeadCodec.h"
#include "config/RetiredCodec.h"

#include <cstdint>
#include <cstdlib>

using namespace lacewing;

namespace {

/** Aborts when what was decoded does not survive another round. */
template<class T, class Encode, class Decode>
void CheckRound(const Outcome<T>& aDecoded, Encode aEncode, Decode aDecode)
{
  if (!aDecoded) {
    return;
  }
  const Outcome<std::string> bytes = aEncode(aDecoded.value());
  if (!bytes) {
    std::abort();
  }
  const auto again = aDecode(bytes.value());
  if (!again || aEncode(again.value()).value() != bytes.value()) {
    std::abort();
  }
}

} // namespace

// Guards against hostile objects in the store that crash a reader, and against
// objects that are accepted but cannot be written again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckRound(DecodeHead(bytes), EncodeHead, DecodeHead);
  CheckRound(DecodeService(bytes), EncodeService, DecodeService);
  CheckRound(DecodeZones(bytes), EncodeZones, DecodeZones);
  CheckRound(DecodeHosts(bytes), EncodeHosts, DecodeHosts);
  (void)DecodeRetired(bytes);
  return 0;
}
