#ifndef TESTS_SOAK_SOAKLEDGER_H
#define TESTS_SOAK_SOAKLEDGER_H

#include "http/ExchangeResult.h"
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
 * What callers, servers and the operator saw, and where that breaks a promise.
 * Knows nothing of what the hosts believe.
 */
class SoakLedger
{
public:
  SoakLedger(const Clock& aClock, const SoakTerms& aTerms, bool aPlannedOnly);

  RouteHistory& Routes() { return routes_; }

  void OnSent(SoakRequest aRequest);
  void OnArrival(const ServerSpec& aServer, bool aCold);
  void OnRun(const ServerSpec& aServer, const HttpMessage& aRequest);
  void OnEnded(const std::string& aId, const ExchangeResult& aResult);
  void OnGaveUp(const std::string& aId);
  /** The store has taken the news that a server or zone gets nothing more. */
  void OnServerLeaving(const TargetId& aServer);
  void OnZoneOut(const ZoneId& aZone);
  void OnZoneBack(const ZoneId& aZone);

  void AddViolation(const std::string& aRule, const std::string& aDetail);

  /** Checks that need the whole run. */
  void CheckWhole();
  /** Checks that callers are served from aFrom on. */
  void CheckServed(TimePoint aFrom);

  const std::vector<std::string>& Violations() const { return violations_; }
  /** One line of counts. */
  std::string Summary() const;

private:
  void CheckAnswer(const SoakRequest& aRequest, const HttpMessage& aAnswer);
  void CheckPlanned(const SoakRequest& aRequest);
  void CheckRequest(const SoakRequest& aRequest);
  void CheckRepeats();

  const Clock& clock_;
  const SoakTerms terms_;
  const bool plannedOnly_;
  RouteHistory routes_;
  std::map<std::string, SoakRequest> requests_;
  std::map<TargetId, std::deque<TimePoint>> coldArrivals_;
  std::map<TargetId, TimePoint> leaving_;
  std::map<ZoneId, TimePoint> zonesOut_;
  std::vector<std::string> violations_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKLEDGER_H
