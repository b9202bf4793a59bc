#include "balance/RetryWindow.h"

namespace lacewing {

namespace {

constexpr Duration kBucket = std::chrono::milliseconds(500);
// Only part of the limit is used: a request may reach its target in a later
// window than the one it was sent in, and a restarted host does not know what
// it sent before.
constexpr double kUsedRatioShare = 0.85;
constexpr double kUsedSlackShare = 0.5;

} // namespace

RetryWindow::Bucket& RetryWindow::BucketAt(TimePoint aNow)
{
  while (!buckets_.empty() && buckets_.front().start + limits_.window < aNow) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().start + kBucket <= aNow) {
    buckets_.push_back({ aNow });
  }
  return buckets_.back();
}

void RetryWindow::CountRequest(TimePoint aNow)
{
  BucketAt(aNow).requests += 1;
}

bool RetryWindow::Take(TimePoint aNow, unsigned aHosts)
{
  Bucket& current = BucketAt(aNow);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : buckets_) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const double allowed =
    limits_.ratio * requests * kUsedRatioShare +
    limits_.slack * kUsedSlackShare / (aHosts > 0 ? aHosts : 1);
  if (retries + 1 > allowed) {
    return false;
  }
  current.retries += 1;
  return true;
}

} // namespace lacewing
