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

/** A lacewing-hostd process with the links that faults strike. */
class SoakHost
{
public:
  /** aSettings lacks the store's address, which is the link's. */
  SoakHost(asio::io_context& aContext,
           const Clock& aClock,
           SoakLedger& aLedger,
           nlohmann::json aSettings,
           const Endpoint& aStore,
           const Endpoint& aStoreLink,
           const Endpoint& aFrontLink);

  const std::string& Name() const { return name_; }
  ZoneId Zone() const { return zone_; }
  ProxyPair& StoreLink() { return *storeLink_; }
  ProxyPair& FrontLink() { return *frontLink_; }

  void Start();
  /** Ends it at once; it starts again after aDown. */
  void Kill(Duration aDown);
  /** Asks it to stop; it starts again once it has ended. */
  void Terminate();
  void Pause();
  void Resume();
  void Reload();

  /** Whether its readiness was found lately; it then gets connections. */
  bool InRotation() const { return misses_ < kMissesOut; }
  bool Running() const { return process_ && !terminatedAt_; }

  /** Sees whether the process lives and asks for its readiness. */
  void Poll(Duration aGrace);

  /** What its processes wrote. */
  std::string Logs() const;

private:
  // As the platform's balancer: two questions in a row without a 200.
  static constexpr int kMissesOut = 2;

  void OnExit(int aCode);
  void AskReady();

  const Clock& clock_;
  SoakLedger& ledger_;
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
