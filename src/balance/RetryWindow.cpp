#include "balance/RetryWindow.h"

namespace lacewing {

namespace {

constexpr Duration kBucket = std::chrono::milliseconds(500);
// Part of the bound that is used: arrivals at the targets fall into other
// windows than sendings, and hosts that start anew know nothing of their past.
constexpr double kUsedShare = 0.85;
constexpr double kUsedSlack = 0.5;

} // namespace

RepeatWindow::Bucket& RepeatWindow::BucketAt(TimePoint aNow)
{
  while (!buckets_.empty() && buckets_.front().start + terms_.window < aNow) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().start + kBucket <= aNow) {
    buckets_.push_back({ aNow });
  }
  return buckets_.back();
}

void RepeatWindow::CountRequest(TimePoint aNow)
{
  BucketAt(aNow).requests += 1;
}

bool RepeatWindow::Take(TimePoint aNow, unsigned aHosts)
{
  Bucket& current = BucketAt(aNow);
  double requests = 0;
  double repeats = 0;
  for (const Bucket& bucket : buckets_) {
    requests += bucket.requests;
    repeats += bucket.repeats;
  }
  const double room = terms_.ratio * requests * kUsedShare +
                      terms_.slack * kUsedSlack / (aHosts > 0 ? aHosts : 1);
  if (repeats + 1 > room) {
    return false;
  }
  current.repeats += 1;
  return true;
}

} // namespace lacewing
