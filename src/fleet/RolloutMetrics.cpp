#include "fleet/RolloutMetrics.h"

#include <string>

namespace lacewing {

namespace {

// The label of the targets of all versions but the ordered one.
constexpr const char* kOldVersion = "other";
constexpr double kFullShare = 10000;

void AddAttempts(MetricsPage& aPage,
                 const RolloutOrder& aOrder,
                 const std::string& aVersion,
                 std::uint64_t aCount,
                 std::uint64_t aBad)
{
  const MetricLabels labels = { { "service", aOrder.id.service.value() },
                                { "version", aVersion } };
  aPage.AddCounter("lacewing_rollout_attempts_total",
                   "Attempts of this host that ended since the order and tell "
                   "something of the version.",
                   labels,
                   aCount);
  aPage.AddCounter("lacewing_rollout_bad_total",
                   "Those of these attempts that failed or were too slow.",
                   labels,
                   aBad);
}

} // namespace

void AddRolloutMetrics(MetricsPage& aPage,
                       const RolloutOrder& aOrder,
                       const RolloutDirective& aInForce,
                       const OrderEvidence* aEvidence,
                       TimePoint aNow)
{
  const std::string& version = aOrder.id.version.value();
  const MetricLabels labels = { { "service", aOrder.id.service.value() },
                                { "version", version } };
  aPage.AddGauge("lacewing_rollout_share",
                 "Part of the service's requests for the version, 0 to 1.",
                 labels,
                 aInForce.shareBasisPoints / kFullShare);
  if (aEvidence == nullptr) {
    return;
  }
  aPage.AddGauge("lacewing_rollout_step",
                 "Step of the rollout in progress that this host applies.",
                 labels,
                 aInForce.step);
  RouteEvidence sum;
  for (const RouteEvidence& route : aEvidence->Own(aNow).routes) {
    sum.oldCount += route.oldCount;
    sum.oldBad += route.oldBad;
    sum.newCount += route.newCount;
    sum.newBad += route.newBad;
  }
  AddAttempts(aPage, aOrder, kOldVersion, sum.oldCount, sum.oldBad);
  AddAttempts(aPage, aOrder, version, sum.newCount, sum.newBad);
}

} // namespace lacewing
