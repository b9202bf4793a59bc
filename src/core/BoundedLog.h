#ifndef CORE_BOUNDEDLOG_H
#define CORE_BOUNDEDLOG_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace lacewing {

/**
 * Lines on their way to a descriptor. Adding never blocks; lines that find no
 * room are dropped and counted, and a line tells so once there is room again.
 */
class BoundedLog
{
public:
  /** At most aMaxBytes wait; aDescriptor stays the caller's. */
  BoundedLog(int aDescriptor, std::size_t aMaxBytes);

  /** Adds a line that ends with a line break. */
  void Add(std::string_view aLine);

  /** Writes what the descriptor takes without blocking. */
  void Flush();

  /**
   * Writes the lines that wait and then aLine, as far as the descriptor takes
   * them without blocking; for the handler of a fatal signal, so only with
   * async-signal-safe calls. If a thread is at work on the lines that wait,
   * they are left out, and its lines may follow. Otherwise the log takes no
   * lines afterwards.
   */
  void WriteLast(std::string_view aLine);

  std::uint64_t Dropped() const;

private:
  /** Holds the waiting lines, unless WriteLast() has taken them. */
  class Access;

  bool WriteSome();

  const int descriptor_;
  const std::size_t maxBytes_;
  mutable std::mutex mutex_;
  /** Whether a thread is at work on waiting_, or WriteLast() has taken it. */
  std::atomic<bool> taken_{ false };
  std::string waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t told_ = 0;
};

} // namespace lacewing

#endif // CORE_BOUNDEDLOG_H
