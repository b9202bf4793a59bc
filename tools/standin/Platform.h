#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"
#include "standin/PlatformFaults.h"

#include <asio/io_context.hpp>

#include <memory>

namespace lacewing {

/** Stand-in for the platform's object store and host list, in memory. */
class Platform
{
public:
  static Outcome<std::unique_ptr<Platform>> Make(asio::io_context& aContext,
                                                 const Clock& aClock,
                                                 const Endpoint& aEndpoint,
                                                 const PlatformFaults& aFaults);

  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

private:
  class Impl;
  explicit Platform(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // STANDIN_PLATFORM_H
