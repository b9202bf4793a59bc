#ifndef TESTS_SOAK_SOAKLEDGER_H
#define TESTS_SOAK_SOAKLEDGER_H

#include "http/ExchangeResult.h"
#include "soak/HostDisturbances.h"
#include "soak/RouteHistory.h"
#include "soak/SoakRequest.h"
#include "soak/SoakTerms.h"
#include "support/ServerSpec.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lacewing {

/**
 * Records what callers, servers and the operator observed, and reports each
 * violation of a guarantee. It uses no internal state of the hosts.
 */
class SoakLedger
{
public:
  SoakLedger(const Clock& aClock, const SoakTerms& aTerms, bool aPlannedOnly);

  RouteHistory& Routes() { return routes_; }
  HostDisturbances& Disturbances() { return disturbances_; }

  // Events at callers and servers. A run is the processing of a request by a
  // server.
  void OnSent(SoakRequest aRequest);
  void OnArrival(const ServerSpec& aServer,
                 const HttpMessage& aRequest,
                 bool aCold);
  void OnRun(const ServerSpec& aServer, const HttpMessage& aRequest);
  void OnEnded(const std::string& aId, const ExchangeResult& aResult);
  /** A process of the host starts, which has used no configuration yet. */
  void OnHostStarted(const std::string& aHost);
  /**
   * The store goes away and comes back from a copy. What it accepted so short
   * a time ago that hosts need not know of it yet is due at aSettled, by when
   * its writers have written again what was lost.
   */
  void OnStoreAway(TimePoint aSettled);
  /** Whether the bound of a server's leaving ends now or later. */
  bool LeavingNow(const TargetId& aServer) const;
  /** aOverdue: after its whole deadline, so that a response was due. */
  void OnGaveUp(const std::string& aId, bool aOverdue);
  /**
   * The store accepted the entry that drains a server or evacuates a zone; the
   * bound after which it must receive no more requests starts now.
   */
  void OnServerLeaving(const TargetId& aServer);
  void OnZoneOut(const ZoneId& aZone);
  void OnZoneBack(const ZoneId& aZone);

  void AddViolation(const std::string& aRule, const std::string& aDetail);

  /** Checks all requests and the retry ratio; call it once, after the run. */
  void CheckRequests();
  /** Checks that enough of the requests sent from aFrom on got a 200. */
  void CheckServed(TimePoint aFrom);

  const std::vector<std::string>& Violations() const { return violations_; }
  /** Counts of requests, runs and outcomes, on one line. */
  std::string Summary() const;

private:
  /** The latest version that a host's process has used, and since when. */
  struct UsedVersion
  {
    TimePoint startedAt;
    ConfigVersion version;
    TimePoint at;
  };

  void CheckNotTakenBack(const SoakRequest& aRequest,
                         const ServiceId& aService);
  void CheckDenied(const SoakRequest& aRequest);
  /** Whether the host had used a version, for the slack, before the request. */
  const UsedVersion* UsedBefore(const SoakRequest& aRequest) const;
  void CheckResponse(const SoakRequest& aRequest, const HttpMessage& aResponse);
  void RecordEnd(SoakRequest& aRequest);
  void CheckAnswered(const SoakRequest& aRequest);
  void CheckPlanned(const SoakRequest& aRequest);
  void CheckRequest(const SoakRequest& aRequest);
  void CheckRetries();

  const Clock& clock_;
  const SoakTerms terms_;
  const bool plannedOnly_;
  RouteHistory routes_;
  HostDisturbances disturbances_;
  const TimePoint startedAt_;
  std::map<std::string, SoakRequest> requests_;
  std::map<TargetId, std::deque<TimePoint>> coldArrivals_;
  std::map<TargetId, TimePoint> leaving_;
  std::map<ZoneId, TimePoint> zonesOut_;
  std::map<std::string, UsedVersion> usedVersions_;
  std::vector<std::string> violations_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKLEDGER_H
