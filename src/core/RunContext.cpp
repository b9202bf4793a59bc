#include "core/RunContext.h"

#include "core/Log.h"

#include <exception>

namespace lacewing {

void RunContext(asio::io_context& aContext)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      Log(LogLevel::kError,
          "handler",
          { { "error", error.what() }, { "is", "dropped" } });
    }
  }
}

} // namespace lacewing
