#include "standin/ProxyLink.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// What a link with latency may hold; the sender waits beyond it.
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;

} // namespace

ProxyLink::ProxyLink(const Clock& aClock,
                     Socket aFrom,
                     Socket aTo,
                     LinkState& aState,
                     std::function<void()> aBroken)
  : clock_(aClock)
  , from_(std::move(aFrom))
  , to_(std::move(aTo))
  , state_(aState)
  , broken_(std::move(aBroken))
  , timer_(from_->get_executor())
  , seenChanges_(aState.changes)
{
}

void ProxyLink::Start()
{
  Read();
}

void ProxyLink::Read()
{
  if (reading_ || ended_ || queuedBytes_ >= kMaxQueuedBytes) {
    return;
  }
  reading_ = true;
  from_->async_read_some(
    asio::buffer(buffer_),
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aSize) {
      self->reading_ = false;
      if (aError == asio::error::operation_aborted || self->ended_) {
        return;
      }
      if (aError && aError != asio::error::eof) {
        self->Break();
        return;
      }
      self->OnRead(aError ? 0 : aSize);
    });
}

void ProxyLink::OnRead(std::size_t aSize)
{
  Add(std::string(buffer_.data(), aSize));
  if (aSize > 0) {
    Read();
  }
  Pump();
}

void ProxyLink::Add(std::string aBytes)
{
  const TimePoint now = clock_.Now();
  free_ = std::max(free_, now);
  if (const auto bandwidth = state_.faults.bandwidth.value(); bandwidth > 0) {
    const std::chrono::duration<double> time(
      static_cast<double>(aBytes.size()) / static_cast<double>(bandwidth));
    free_ += std::chrono::duration_cast<Duration>(time);
  }
  queuedBytes_ += aBytes.size();
  chunks_.push_back({ free_ + state_.faults.latency, std::move(aBytes) });
}

void ProxyLink::Pump()
{
  if (seenChanges_ != state_.changes) {
    seenChanges_ = state_.changes;
    carriedSinceChange_ = ByteCount();
  }
  if (writing_ || ended_ || chunks_.empty() || state_.faults.stall) {
    return;
  }
  const TimePoint due = chunks_.front().due;
  if (due > clock_.Now()) {
    WaitUntil(due);
    return;
  }
  if (chunks_.front().bytes.empty()) {
    HalfClose();
    return;
  }
  WriteFront();
}

void ProxyLink::WaitUntil(TimePoint aDue)
{
  timer_.expires_at(aDue);
  timer_.async_wait(
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Pump();
      }
    });
}

void ProxyLink::WriteFront()
{
  std::string& bytes = chunks_.front().bytes;
  queuedBytes_ -= bytes.size();
  const ByteCount limit = state_.faults.truncateAfter;
  const bool truncate = limit > ByteCount() &&
                        carriedSinceChange_ + ByteCount(bytes.size()) >= limit;
  if (truncate) {
    bytes.resize((limit - carriedSinceChange_).value());
  }
  carriedSinceChange_ += ByteCount(bytes.size());
  state_.carried += ByteCount(bytes.size());
  writing_ = true;
  asio::async_write(*to_,
                    asio::buffer(bytes),
                    [self = shared_from_this(),
                     truncate](const asio::error_code& aError, std::size_t) {
                      self->writing_ = false;
                      // The connection may be gone with its handler.
                      if (self->ended_) {
                        return;
                      }
                      if (aError || truncate) {
                        self->Break();
                        return;
                      }
                      self->chunks_.pop_front();
                      self->Read();
                      self->Pump();
                    });
}

void ProxyLink::HalfClose()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  timer_.cancel();
  asio::error_code ignored;
  to_->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  broken_();
}

void ProxyLink::Break()
{
  // The other link of the connection sees the closed sockets.
  asio::error_code ignored;
  from_->close(ignored);
  to_->close(ignored);
  Stop();
  broken_();
}

void ProxyLink::Stop()
{
  ended_ = true;
  timer_.cancel();
}

} // namespace lacewing
