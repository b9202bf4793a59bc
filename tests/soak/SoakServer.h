#ifndef TESTS_SOAK_SOAKSERVER_H
#define TESTS_SOAK_SOAKSERVER_H

#include "standin/ProxyPair.h"
#include "support/ServerStandin.h"

#include <memory>

namespace lacewing {

/** A server, the link to it, and the state of its entry in the store. */
struct SoakServer
{
  ServerSpec spec;
  std::uint64_t born = 0;
  bool draining = false;
  std::unique_ptr<ProxyPair> link;
  /** Null while the server is down. */
  std::unique_ptr<ServerStandin> process;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKSERVER_H
