#include "spill/SpillDraw.h"

namespace lacewing {

namespace {

// The control thread decides each 500 ms.
constexpr Duration kPublishPeriod = std::chrono::milliseconds(500);

} // namespace

SpillDraw::SpillDraw(std::uint64_t aSeed, SnapshotCell<SpillUsage>* aUsage)
  : random_(static_cast<std::minstd_rand::result_type>(aSeed))
  , published_(aUsage)
{
}

ZoneId SpillDraw::Next(const SpillPlan* aPlan,
                       const ServiceId& aService,
                       ByteCount aBytes,
                       TimePoint aNow)
{
  if (aPlan == nullptr) {
    return {};
  }
  ServiceUsage& usage = usage_.services[aService];
  ++usage.requests;
  usage.bytes += aBytes;
  const ZoneId zone =
    aNow < aPlan->validUntil ? DrawFrom(*aPlan, aService) : ZoneId();
  if (!zone.empty()) {
    ++usage.drawn[zone];
  }
  if (published_ != nullptr && publishedAt_ + kPublishPeriod <= aNow) {
    publishedAt_ = aNow;
    published_->Publish(std::make_shared<const SpillUsage>(usage_));
  }
  return zone;
}

ZoneId SpillDraw::DrawFrom(const SpillPlan& aPlan, const ServiceId& aService)
{
  const auto service = aPlan.services.find(aService);
  if (service == aPlan.services.end()) {
    return {};
  }
  double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
  for (const SpillShare& share : service->second) {
    if (drawn < share.share) {
      return share.zone;
    }
    drawn -= share.share;
  }
  return {};
}

} // namespace lacewing
