#ifndef TESTS_SUPPORT_PROCESS_H
#define TESTS_SUPPORT_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lacewing {

/**
 * A program of LACEWING_BIN_DIR, or one given by its absolute path, that runs
 * until this is destroyed.
 */
class Process
{
public:
  /** Standard output and error go to a file of their own. */
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments);

  /** Kills the process by its id when it still runs. */
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&&) = delete;

  pid_t Pid() const { return pid_; }

  void Signal(int aSignal) const;

  /**
   * The exit code, or the negative number of the signal that ended the
   * process; empty when it still runs after aLimit.
   */
  std::optional<int> Wait(std::chrono::milliseconds aLimit);

  /** Sends SIGTERM and waits. */
  std::optional<int> Stop(
    std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /** What the process has written so far. */
  std::string Output() const;

private:
  pid_t pid_ = -1;
  int pidFd_ = -1;
  std::string outputFile_;
  std::optional<int> end_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_PROCESS_H
