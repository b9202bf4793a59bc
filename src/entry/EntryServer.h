#ifndef ENTRY_ENTRYSERVER_H
#define ENTRY_ENTRYSERVER_H

#include "entry/EntrySettings.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <cstdint>
#include <memory>

namespace lacewing {

/** Everything of one entryd: workers, control thread state, admin pages. */
class EntryServer
{
public:
  /** Listens on all endpoints at once. */
  static Outcome<std::unique_ptr<EntryServer>> Make(
    const Clock& aClock,
    const EntrySettings& aSettings);

  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /**
   * Uses the calling thread as the control thread until a graceful shutdown
   * has ended. Returns whether every open request was answered.
   */
  bool Run();

  /** Begins the graceful shutdown; from any thread. */
  void Stop();
  /** Begins it on SIGTERM and SIGINT. */
  void StopOnSignals();

  std::uint16_t CallerPort() const;
  std::uint16_t AdminPort() const;

private:
  struct Impl;
  explicit EntryServer(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // ENTRY_ENTRYSERVER_H
