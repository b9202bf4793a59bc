#ifndef DECISION_TARGETVIEW_H
#define DECISION_TARGETVIEW_H

#include "decision/AttemptAnswer.h"
#include "decision/AttemptFailure.h"
#include "decision/DecayingValue.h"
#include "decision/HeldGrant.h"
#include "decision/LoadReport.h"
#include "decision/TargetObservation.h"
#include "decision/TargetRoute.h"
#include "lacewing/Clock.h"

#include <optional>
#include <vector>

namespace lacewing {

/** What one worker knows of one target from its own requests. */
class TargetView
{
public:
  TargetView(TargetRoute aRoute, const ZoneId& aOwnZone);

  const TargetRoute& Route() const { return route_; }
  /** Whether the target is in the worker's own availability zone. */
  bool InOwnZone() const { return inOwnZone_; }
  SlotCount InFlight() const
  {
    return SlotCount(static_cast<std::uint32_t>(sent_.size()));
  }
  /** Moving average of answer times; zero when none. */
  Duration Latency() const { return latency_; }
  /** When the last answer came. */
  TimePoint LastAnswer() const { return lastAnswer_; }
  const LoadReport& Report() const { return report_; }
  /** Own requests in progress beyond those at the time of the report. */
  double SentSinceReport() const;
  /**
   * Requests of other workers in progress, as estimated from the last
   * report; aUsual is the mean over targets, to which it returns with age.
   */
  double OthersInFlight(TimePoint aNow, SlotCount aSlots, double aUsual) const;
  /**
   * Load in requests that stands for recent failures, slow answers and a
   * request that is overdue; aSlow is the service's SlowLimit.
   */
  double Penalty(TimePoint aNow, Duration aSlow) const;
  /** Consecutive answers beyond the service's SlowLimit. */
  unsigned SlowAnswers() const { return slowAnswers_; }

  /** Takes over phase and epoch. */
  void Update(const TargetRoute& aRoute, const ZoneId& aOwnZone);
  void SetGrant(const std::optional<HeldGrant>& aGrant);

  /** Whether one more request may be sent now, given the own limit. */
  bool MaySend(TimePoint aNow, SlotCount aLimit) const;
  /** Whether only a grant allows requests. */
  bool NeedsGrant() const;
  bool Drains(TimePoint aNow) const { return aNow < drainingUntil_; }

  void OnSent(TimePoint aNow);
  void OnAnswered(TimePoint aNow,
                  TimePoint aSent,
                  const AttemptAnswer& aAnswer,
                  Duration aSlow);
  void OnFailed(TimePoint aNow, TimePoint aSent, AttemptFailure aFailure);
  /** aSlow as for Penalty. */
  void OnCancelled(TimePoint aNow, TimePoint aSent, Duration aSlow);
  /** Slots for which a grant is wanted. */
  void OnWanted(SlotCount aSlots) { wanted_ = aSlots; }
  /** Treats a warm target as cold until a later epoch arrives. */
  void MarkCold(const InstanceId& aNewInstance = InstanceId());

  /** The observation since the last call; empty when nothing happened. */
  std::optional<TargetObservation> TakeObservation(TimePoint aNow);

private:
  void Leave(TimePoint aSent);
  void AddFailure(TimePoint aNow);

  TargetRoute route_;
  bool inOwnZone_;
  std::optional<HeldGrant> grant_;
  InstanceId instance_;
  /** Start of each request in progress, the oldest first. */
  std::vector<TimePoint> sent_;
  SlotCount wanted_;
  TimePoint drainingUntil_;
  TimePoint lastAnswer_;
  Duration latency_{ 0 };
  LoadReport report_;
  DecayingValue failures_;
  unsigned slowAnswers_ = 0;
  /** A sign of coldness came after the epoch of route_. */
  bool locallyCold_ = false;
  bool reportCold_ = false;
  /** The instance whose change was the sign, if that was the sign. */
  InstanceId coldInstance_;
  bool changed_ = false;
  std::uint32_t answered_ = 0;
  std::uint32_t failed_ = 0;
};

} // namespace lacewing

#endif // DECISION_TARGETVIEW_H
