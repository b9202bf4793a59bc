#ifndef QUOTA_LOCALDEFERRAL_H
#define QUOTA_LOCALDEFERRAL_H

#include "lacewing/Clock.h"
#include "quota/AllowanceAnswer.h"
#include "quota/DeferredCallers.h"
#include "quota/RecentUse.h"

#include <optional>

namespace lacewing {

/**
 * Refuses requests of a customer that is far over its limit without asking the
 * owner each time. It answers the load of a customer that sends 7.5 times its
 * usual requests to 98 hosts: 1,300 messages a second would take most of the
 * owner's tenth of a core.
 */
class LocalDeferral
{
public:
  /** The owner refused a request of the customer. */
  void OnRefused(const AllowanceAnswer& aAnswer, TimePoint aNow);

  /** The owner granted a token, so that the next request asks it again. */
  void OnGranted() { until_ = TimePoint(); }

  /** Returns when the caller may return; empty if the owner is to be asked. */
  std::optional<Duration> Refuse(TimePoint aNow);

private:
  RecentUse refusals_;
  DeferredCallers deferred_;
  TimePoint until_;
  TimePoint firstAt_;
  Duration spacing_{ 0 };
};

} // namespace lacewing

#endif // QUOTA_LOCALDEFERRAL_H
