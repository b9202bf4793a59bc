#ifndef TESTS_SOAK_SOAKHOST_H
#define TESTS_SOAK_SOAKHOST_H

#include "http/HttpCaller.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"
#include "soak/SoakLedger.h"
#include "standin/ProxyPair.h"
#include "support/Process.h"
#include "support/TempFile.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/** A lacewing-hostd process and the proxied links into which faults go. */
class SoakHost
{
public:
  /**
   * aSettings has no store address; the constructor sets it to aStoreLink,
   * which forwards to aStore.
   */
  SoakHost(asio::io_context& aContext,
           const Clock& aClock,
           SoakLedger& aLedger,
           std::string aProgram,
           nlohmann::json aSettings,
           const Endpoint& aStore,
           const Endpoint& aStoreLink,
           const Endpoint& aFrontLink);

  const std::string& Name() const { return name_; }
  ZoneId Zone() const { return zone_; }
  ProxyPair& StoreLink() { return *storeLink_; }
  ProxyPair& FrontLink() { return *frontLink_; }

  void Start();
  /** Kills the process at once; Poll() restarts it after aDown. */
  void Kill(Duration aDown);
  /**
   * Sends SIGTERM; Poll() restarts the process once it has exited, which it
   * must within aGrace.
   */
  void Terminate(Duration aGrace);
  void Pause();
  void Resume();
  void Reload();

  /** Whether recent readiness probes succeeded, so that callers connect to it.
   */
  bool InRotation() const { return misses_ < kMissesOut; }
  bool Running() const { return process_ && !terminatedAt_; }
  /** Whether there is a process, which may be stopping. */
  bool Alive() const { return process_ != nullptr; }
  bool Paused() const { return paused_; }

  /**
   * Restarts the process when due, reports an unexpected exit or a terminated
   * process that still runs after aGrace, and probes the readiness.
   */
  void Poll(Duration aGrace);

  /** Reports and clears a process that has ended; returns whether it has. */
  bool CheckExit();

  /** Output of all processes of this host so far. */
  std::string Logs() const;

private:
  // Same as the platform's balancer: a host leaves the rotation after two
  // probes in a row without a 200.
  static constexpr int kMissesOut = 2;

  void ProbeReadiness();

  const Clock& clock_;
  SoakLedger& ledger_;
  const std::string program_;
  const std::string name_;
  const ZoneId zone_;
  std::unique_ptr<ProxyPair> storeLink_;
  std::unique_ptr<ProxyPair> frontLink_;
  TempFile settings_;
  HttpCaller readiness_;
  std::unique_ptr<Process> process_;
  std::string logs_;
  std::optional<TimePoint> terminatedAt_;
  std::optional<TimePoint> startAt_;
  bool paused_ = false;
  int misses_ = kMissesOut;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKHOST_H
