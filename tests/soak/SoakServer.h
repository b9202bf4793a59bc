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
  /** The Unix millisecond of the start. */
  std::uint64_t born = 0;
  TimePoint startedAt;
  /** Writes of the entry that say more than that the server lives. */
  std::uint64_t changes = 0;
  bool draining = false;
  /** When a draining server exits. */
  TimePoint exitsAt;
  std::unique_ptr<ProxyPair> link;
  /** Null while the server is down. */
  std::unique_ptr<ServerStandin> process;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKSERVER_H
