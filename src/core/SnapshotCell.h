#ifndef CORE_SNAPSHOTCELL_H
#define CORE_SNAPSHOTCELL_H

#include <memory>
#include <mutex>
#include <utility>

namespace lacewing {

/**
 * Hands the newest immutable value from one thread to others. The lock is held
 * for the copy of a pointer only; readers are not woken.
 */
template<class T>
class SnapshotCell
{
public:
  explicit SnapshotCell(std::shared_ptr<const T> aFirst)
    : value_(std::move(aFirst))
  {
  }

  void Publish(std::shared_ptr<const T> aValue)
  {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      value_.swap(aValue);
    }
    // The previous value, if this was its last holder, is freed unlocked.
  }

  std::shared_ptr<const T> Get() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return value_;
  }

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

} // namespace lacewing

#endif // CORE_SNAPSHOTCELL_H
