#ifndef CTL_HOSTREADER_H
#define CTL_HOSTREADER_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>

namespace lacewing {

/** Reads the state that a daemon shows on its admin port. */
class HostReader
{
public:
  using DumpHandler = std::function<void(Outcome<nlohmann::json>)>;

  virtual ~HostReader() = default;

  /**
   * Reads /dump within aTimeout; the handler runs later on the caller's
   * io_context. Fails with kUnavailable, kTimeout, kTooLarge or
   * kInvalidMessage.
   */
  virtual void Dump(const Endpoint& aAdmin,
                    std::chrono::milliseconds aTimeout,
                    DumpHandler aHandler) = 0;
};

} // namespace lacewing

#endif // CTL_HOSTREADER_H
