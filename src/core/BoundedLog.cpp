#include "core/BoundedLog.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace lacewing {

namespace {

// A pipe that is ready takes this much without blocking (PIPE_BUF).
constexpr std::size_t kChunk = 4096;

bool IsReady(int aDescriptor)
{
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

/** Writes aBytes up to the first time that aDescriptor is not ready. */
void WriteReady(int aDescriptor, std::string_view aBytes)
{
  while (!aBytes.empty() && IsReady(aDescriptor)) {
    const ssize_t count =
      write(aDescriptor, aBytes.data(), std::min(aBytes.size(), kChunk));
    if (count <= 0) {
      return;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

} // namespace

class BoundedLog::Access
{
public:
  explicit Access(BoundedLog& aLog)
    : log_(aLog)
    , lock_(aLog.mutex_)
    , granted_(!aLog.taken_.exchange(true))
  {
  }

  ~Access()
  {
    if (granted_) {
      log_.taken_ = false;
    }
  }

  Access(const Access&) = delete;
  Access& operator=(const Access&) = delete;

  explicit operator bool() const { return granted_; }

private:
  BoundedLog& log_;
  const std::lock_guard<std::mutex> lock_;
  const bool granted_;
};

BoundedLog::BoundedLog(int aDescriptor, std::size_t aMaxBytes)
  : descriptor_(aDescriptor)
  , maxBytes_(aMaxBytes)
{
}

void BoundedLog::Add(std::string_view aLine)
{
  const Access access(*this);
  if (!access) {
    return;
  }
  if (waiting_.size() + aLine.size() > maxBytes_) {
    ++dropped_;
    return;
  }
  if (told_ != dropped_) {
    waiting_ +=
      "event=log-dropped lines=" + std::to_string(dropped_ - told_) + "\n";
    told_ = dropped_;
  }
  waiting_ += aLine;
}

bool BoundedLog::WriteSome()
{
  if (waiting_.empty() || !IsReady(descriptor_)) {
    return false;
  }
  const ssize_t count =
    write(descriptor_, waiting_.data(), std::min(waiting_.size(), kChunk));
  if (count < 0) {
    // Nobody reads any more: keeping the lines would only fill memory.
    if (errno != EINTR && errno != EAGAIN) {
      waiting_.clear();
    }
    return false;
  }
  waiting_.erase(0, static_cast<std::size_t>(count));
  return true;
}

void BoundedLog::Flush()
{
  const Access access(*this);
  while (access && WriteSome()) {
  }
}

void BoundedLog::WriteLast(std::string_view aLine)
{
  if (!taken_.exchange(true)) {
    WriteReady(descriptor_, waiting_);
  } else {
    // The last line that was written may not be complete.
    WriteReady(descriptor_, "\n");
  }
  WriteReady(descriptor_, aLine);
}

std::uint64_t BoundedLog::Dropped() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

} // namespace lacewing
