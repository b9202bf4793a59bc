#include "support/Process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace lacewing {

namespace {

/** Makes an empty file whose name shows the program. */
std::string MakeOutputFile(const std::string& aProgram)
{
  const std::filesystem::path program = aProgram;
  std::string path = std::filesystem::temp_directory_path() /
                     ("lacewing-" + program.filename().string() + "-XXXXXX");
  const int fd = mkstemp(path.data());
  if (fd < 0) {
    throw std::runtime_error("cannot make " + path);
  }
  close(fd);
  return path;
}

pid_t Spawn(const std::string& aPath,
            const std::vector<std::string>& aArguments,
            const std::string& aOutputFile)
{
  std::vector<char*> arguments{ const_cast<char*>(aPath.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutputFile.c_str(), O_WRONLY | O_APPEND, 0);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited socket would stay open after the test closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = -1;
  const int error = posix_spawn(
    &pid, aPath.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + aPath + ": " +
                             std::strerror(error));
  }
  return pid;
}

} // namespace

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments)
  : outputFile_(MakeOutputFile(aProgram))
{
  pid_ = Spawn(std::filesystem::path(LACEWING_BIN_DIR) / aProgram,
               aArguments,
               outputFile_);
  pidFd_ = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
}

Process::~Process()
{
  if (pid_ > 0 && !end_) {
    Signal(SIGKILL);
    Wait(std::chrono::seconds(10));
  }
  if (pidFd_ >= 0) {
    close(pidFd_);
  }
  if (!outputFile_.empty()) {
    std::error_code ignored;
    std::filesystem::remove(outputFile_, ignored);
  }
}

Process::Process(Process&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
  , pidFd_(std::exchange(aOther.pidFd_, -1))
  , outputFile_(std::exchange(aOther.outputFile_, std::string()))
  , end_(std::exchange(aOther.end_, std::nullopt))
{
}

void Process::Signal(int aSignal) const
{
  // Once waited for, the id may belong to another process.
  if (pid_ > 0 && !end_) {
    kill(pid_, aSignal);
  }
}

std::optional<int> Process::Wait(std::chrono::milliseconds aLimit)
{
  if (end_) {
    return end_;
  }
  pollfd ended{ pidFd_, POLLIN, 0 };
  if (poll(&ended, 1, static_cast<int>(aLimit.count())) <= 0) {
    return std::nullopt;
  }
  int status = 0;
  if (waitpid(pid_, &status, 0) == pid_) {
    end_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return end_;
}

std::optional<int> Process::Stop(std::chrono::milliseconds aLimit)
{
  Signal(SIGTERM);
  return Wait(aLimit);
}

std::string Process::Output() const
{
  std::ostringstream text;
  text << std::ifstream(outputFile_).rdbuf();
  return text.str();
}

} // namespace lacewing
