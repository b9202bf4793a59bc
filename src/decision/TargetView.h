#ifndef DECISION_TARGETVIEW_H
#define DECISION_TARGETVIEW_H

#include "decision/AttemptAnswer.h"
#include "decision/AttemptFailure.h"
#include "decision/HeldGrant.h"
#include "decision/TargetObservation.h"
#include "decision/TargetRoute.h"
#include "lacewing/Clock.h"

#include <optional>

namespace lacewing {

/** What one worker knows of one target from its own requests. */
class TargetView
{
public:
  explicit TargetView(TargetRoute aRoute);

  const TargetRoute& Route() const { return route_; }
  SlotCount InFlight() const { return inFlight_; }

  /** Takes over phase and epoch; ends a draining pause. */
  void Update(const TargetRoute& aRoute);
  void SetGrant(const std::optional<HeldGrant>& aGrant);

  /** Whether one more request may be sent now, given the own limit. */
  bool MaySend(TimePoint aNow, SlotCount aLimit) const;
  /** Whether only a grant allows requests. */
  bool NeedsGrant() const;
  bool Drains(TimePoint aNow) const { return aNow < drainingUntil_; }

  void OnSent(TimePoint aNow);
  void OnAnswered(TimePoint aNow,
                  TimePoint aSent,
                  const AttemptAnswer& aAnswer);
  void OnFailed(TimePoint aNow, TimePoint aSent, AttemptFailure aFailure);
  void OnCancelled(TimePoint aSent);
  /** A request found no grant here. */
  void OnWanted(SlotCount aSlots) { wanted_ = aSlots; }

  /** The observation since the last call; empty when nothing happened. */
  std::optional<TargetObservation> TakeObservation(TimePoint aNow);

private:
  void MarkCold();
  void Leave();

  TargetRoute route_;
  std::optional<HeldGrant> grant_;
  InstanceId instance_;
  SlotCount inFlight_;
  SlotCount wanted_;
  TimePoint drainingUntil_;
  Duration latency_{ 0 };
  /** A sign of coldness came after the epoch of route_. */
  bool locallyCold_ = false;
  bool reportCold_ = false;
  bool changed_ = false;
  std::uint32_t answered_ = 0;
  std::uint32_t failed_ = 0;
};

} // namespace lacewing

#endif // DECISION_TARGETVIEW_H
