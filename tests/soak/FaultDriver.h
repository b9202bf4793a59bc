#ifndef TESTS_SOAK_FAULTDRIVER_H
#define TESTS_SOAK_FAULTDRIVER_H

#include "soak/SoakFault.h"
#include "soak/SoakWorld.h"
#include "soak/StoreDrill.h"

#include <vector>

namespace lacewing {

/** Injects faults that the seed determines; several may be active at once. */
class FaultDriver
{
public:
  FaultDriver(SoakWorld& aWorld, const SoakOptions& aOptions);

  /** Injects faults at random intervals until aEnd. */
  void Start(TimePoint aEnd);

  /** The latest time at which a fault injected so far ends. */
  TimePoint LastEnd() const { return lastEnd_; }

private:
  void InjectFault();

  void RollHost(Duration aLength);
  void ReloadHosts(Duration aLength);
  void MoveRoute(Duration aLength);
  void DrainServer(Duration aLength);
  void JoinServer(Duration aLength);
  void TakeZoneOut(Duration aLength);
  void ChangeIdleLimit(Duration aLength);
  void StutterHost(Duration aLength);
  void RestoreStore(Duration aAge);
  /** Another writer leaves odd entries among those of the servers. */
  void WriteOddEntries(Duration aLength);
  /** Something new for the store, which must not be away. */
  void WriteLaterChange();
  /** Several planned signals and changes in quick succession. */
  void RunSeries(Duration aLength);

  void KillHost(Duration aLength);
  void KillAllHosts(Duration aLength);
  void PauseHost(Duration aLength);
  void PauseHalf(Duration aLength);
  void StoreBusy(Duration aLength);
  void StoreSilent(Duration aLength);
  void ForgetHistory(Duration aLength);
  void SilenceStoreLink(Duration aLength);
  void CutStoreLink(Duration aLength);
  void CutFrontLink(Duration aLength);
  void DelayFrontLink(Duration aLength);
  void CrashServer(Duration aLength);
  void ReuseAddress(Duration aLength);
  void CutServerLink(Duration aLength);
  void SilenceAnswers(Duration aLength);
  void DelayServerLink(Duration aLength);
  void SpoilServer(Duration aLength);

  void SetStoreFault(StoreFault aFault, Duration aLength);
  void SetLink(ProxyPair& aLink,
               LinkState ProxyPair::*aDirection,
               const LinkFaults& aFaults,
               Duration aLength);
  SoakHost& PickHost();
  // Disturbances that may cost the host the requests in progress.
  void Kill(SoakHost& aHost, Duration aDown);
  void Pause(SoakHost& aHost, Duration aLength);
  void RecordDisturbance(const SoakHost& aHost, Duration aLength);

  static const std::vector<SoakFault> kFaults;
  static const std::vector<void (FaultDriver::*)(Duration)> kSeriesSteps;

  SoakWorld& world_;
  /**
   * Not shared with the callers, so that a seed gives the same faults whatever
   * the callers do.
   */
  std::mt19937_64 random_;
  StoreDrill drill_;
  std::uint64_t oddEntries_ = 0;
  std::vector<SoakFault> faults_;
  TimePoint start_;
  TimePoint end_;
  TimePoint lastEnd_;
};

} // namespace lacewing

#endif // TESTS_SOAK_FAULTDRIVER_H
