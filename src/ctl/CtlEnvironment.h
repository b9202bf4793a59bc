#ifndef CTL_CTLENVIRONMENT_H
#define CTL_CTLENVIRONMENT_H

#include "ctl/HostReader.h"
#include "lacewing/Clock.h"
#include "store/ObjectStore.h"

#include <asio/io_context.hpp>

#include <random>

namespace lacewing {

/** What lacewingctl works with; outlives every command. */
struct CtlEnvironment
{
  asio::io_context& context;
  const Clock& clock;
  ObjectStore& store;
  HostReader& hosts;
  std::mt19937_64& random;
};

} // namespace lacewing

#endif // CTL_CTLENVIRONMENT_H
