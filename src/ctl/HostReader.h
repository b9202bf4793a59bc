#ifndef CTL_HOSTREADER_H
#define CTL_HOSTREADER_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace lacewing {

/** Reads the state that a daemon shows on its admin port. */
class HostReader
{
public:
  using DumpHandler = std::function<void(Outcome<nlohmann::json>)>;

  virtual ~HostReader() = default;

  /**
   * Reads /dump; the handler runs later on the caller's io_context. Fails
   * with kUnavailable, kTimeout, kTooLarge or kInvalidMessage.
   */
  virtual void Dump(const Endpoint& aAdmin, DumpHandler aHandler) = 0;
};

} // namespace lacewing

#endif // CTL_HOSTREADER_H
