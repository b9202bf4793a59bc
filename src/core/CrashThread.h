#ifndef CORE_CRASHTHREAD_H
#define CORE_CRASHTHREAD_H

#include <cstddef>
#include <memory>

namespace lacewing {

/**
 * Names the calling thread for the line of LogCrashes(), and gives it a second
 * stack for signal handlers, so that an overflow of its stack is logged too.
 * Belongs to the thread that made it. Sanitizers install a stack of their own;
 * their builds keep it.
 */
class CrashThread
{
public:
  /** aName must outlive the thread. */
  explicit CrashThread(const char* aName);
  ~CrashThread();
  CrashThread(const CrashThread&) = delete;
  CrashThread& operator=(const CrashThread&) = delete;

  /** The calling thread's name, "other" without one; async-signal-safe. */
  static const char* CurrentName();

private:
  const std::unique_ptr<std::byte[]> stack_;
};

} // namespace lacewing

#endif // CORE_CRASHTHREAD_H
