#include "config/ConfigEncoder.h"
#include "config/SheetReader.h"

#include <cstdint>
#include <cstdlib>

using namespace lacewing;

// Guards against sheets that crash the reader, and against accepted sheets
// whose configuration cannot be published.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const auto sheet = ReadSheet({ reinterpret_cast<const char*>(aData), aSize });
  if (sheet) {
    if (!EncodeConfig(sheet.value(), {}, WriteToken("t1"))) {
      std::abort();
    }
  } else if (sheet.error().empty()) {
    std::abort();
  }
  return 0;
}
