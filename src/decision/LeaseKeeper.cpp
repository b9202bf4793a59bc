#include "decision/LeaseKeeper.h"

#include <algorithm>
#include <cassert>

namespace lacewing {

LeaseKeeper::LeaseKeeper(const Clock& aClock,
                         const LeaseTerms& aTerms,
                         HostId aHost,
                         Incarnation aIncarnation)
  : clock_(aClock)
  , terms_(aTerms)
  , host_(std::move(aHost))
  , incarnation_(aIncarnation)
{
}

LeaseAction LeaseKeeper::OnRank(std::optional<unsigned> aRank)
{
  rank_ = aRank;
  return Next();
}

LeaseAction LeaseKeeper::OnRead(const std::optional<LeaseRecord>& aRecord,
                                const ObjectTag& aTag)
{
  assert(call_ == Call::kRead);
  call_.reset();
  const TimePoint now = clock_.Now();
  if (pending_ && aRecord && aRecord->token == pending_->record.token) {
    Accept(aTag);
    return Next();
  }
  const Epoch seenEpoch = aRecord ? aRecord->epoch : Epoch(0);
  if (seenEpoch < held_.epoch ||
      (owned_ && seenEpoch == held_.epoch && aTag != tag_)) {
    // Only the own write can change the object while its epoch stays the
    // same, so this is a read from before the last write that was settled.
    Pause(terms_.retryTime);
    return Next();
  }
  if (pending_ && aTag == TagOf(*pending_)) {
    // Not in force yet; the same conditional write can take effect once only.
    call_ = Call::kWrite;
    return LeaseAction(*pending_);
  }
  pending_.reset();
  if (!seen_ || aTag != tag_) {
    tagSince_ = now;
    owned_ = false;
    heldUntil_ = TimePoint();
  }
  seen_ = true;
  record_ = aRecord;
  tag_ = aTag;
  Pause(terms_.renewTime);
  if (rank_) {
    timer_ = std::min(timer_, std::max(now, TakeOverTime()));
  }
  return Next();
}

LeaseAction LeaseKeeper::OnReadFailed()
{
  assert(call_ == Call::kRead);
  call_.reset();
  Pause(terms_.retryTime);
  return Next();
}

LeaseAction LeaseKeeper::OnWritten(const ObjectTag& aTag)
{
  assert(call_ == Call::kWrite && pending_);
  call_.reset();
  Accept(aTag);
  return Next();
}

LeaseAction LeaseKeeper::OnConflict()
{
  assert(call_ == Call::kWrite && pending_);
  call_.reset();
  // Either another host wrote, or an earlier sending of the same write took
  // effect. The read that follows tells which; the lease runs on until then
  // because its time bounds it anyway. The pause keeps stale reads from
  // causing a write each time.
  unsettled_ = true;
  Pause(terms_.retryTime);
  return Next();
}

LeaseAction LeaseKeeper::OnWriteFailed()
{
  assert(call_ == Call::kWrite && pending_);
  call_.reset();
  if (!unsettled_) {
    pending_.reset();
  }
  Pause(terms_.retryTime);
  return Next();
}

LeaseAction LeaseKeeper::OnWriteUnknown()
{
  assert(call_ == Call::kWrite && pending_);
  call_.reset();
  unsettled_ = true;
  Pause(terms_.retryTime);
  return Next();
}

LeaseAction LeaseKeeper::OnTimer()
{
  return Next();
}

LeaseAction LeaseKeeper::OnStopping()
{
  stopping_ = true;
  heldUntil_ = TimePoint();
  timer_ = clock_.Now();
  return Next();
}

std::optional<TimePoint> LeaseKeeper::NextTimer() const
{
  if (call_ || Idle()) {
    return std::nullopt;
  }
  return timer_;
}

bool LeaseKeeper::Holds() const
{
  return owned_ && !stopping_ && clock_.Now() < heldUntil_;
}

bool LeaseKeeper::Idle() const
{
  return stopping_ ? !owned_ : !owned_ && !pending_ && !rank_;
}

LeaseAction LeaseKeeper::Next()
{
  const TimePoint now = clock_.Now();
  if (call_ || Idle() || now < timer_) {
    return std::nullopt;
  }
  if (stopping_) {
    // One attempt: when it fails, the next holder waits for the lease time.
    owned_ = false;
    LeaseRecord record = held_;
    record.released = true;
    return Write(record);
  }
  if (pending_ || !seen_) {
    return Read();
  }
  if (owned_) {
    return Write(held_);
  }
  if (now < TakeOverTime()) {
    // A read is due at the latest when the time for a take-over comes.
    if (lastRead_ + terms_.renewTime > now) {
      timer_ = std::min(lastRead_ + terms_.renewTime, TakeOverTime());
      return std::nullopt;
    }
    return Read();
  }
  LeaseRecord record;
  record.holder = host_;
  record.epoch = (record_ ? record_->epoch : Epoch(0)) + Epoch(1);
  return Write(record);
}

LeaseAction LeaseKeeper::Read()
{
  call_ = Call::kRead;
  lastRead_ = clock_.Now();
  return LeaseAction(LeaseRead());
}

LeaseAction LeaseKeeper::Write(const LeaseRecord& aRecord)
{
  LeaseWrite write;
  write.record = aRecord;
  write.record.token = host_.value() + "/" +
                       std::to_string(incarnation_.value()) + "/" +
                       std::to_string(++writes_);
  if (record_) {
    write.currentTag = tag_;
  }
  call_ = Call::kWrite;
  pending_ = write;
  pendingSince_ = clock_.Now();
  unsettled_ = false;
  return LeaseAction(write);
}

void LeaseKeeper::Pause(Duration aTime)
{
  timer_ = clock_.Now() + aTime;
}

void LeaseKeeper::Accept(const ObjectTag& aTag)
{
  const TimePoint now = clock_.Now();
  held_ = pending_->record;
  pending_.reset();
  seen_ = true;
  record_ = held_;
  tag_ = aTag;
  tagSince_ = now;
  if (held_.released) {
    return;
  }
  owned_ = true;
  // Counted from before the write took effect, whenever that was.
  heldUntil_ = pendingSince_ + terms_.margin.Shorten(terms_.leaseTime);
  timer_ = stopping_ ? now : std::max(now, pendingSince_ + terms_.renewTime);
}

TimePoint LeaseKeeper::TakeOverTime() const
{
  assert(seen_ && rank_);
  const Duration turn = *rank_ * terms_.rankDelay;
  if (!record_ || record_->released) {
    return tagSince_ + turn;
  }
  return tagSince_ + terms_.margin.Lengthen(terms_.leaseTime) + turn;
}

ObjectTag LeaseKeeper::TagOf(const LeaseWrite& aWrite)
{
  return aWrite.currentTag.value_or(ObjectTag());
}

} // namespace lacewing
