#include "core/CrashLog.h"
#include "core/CrashThread.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace lacewing;

namespace {

/** What a process wrote, and the signal that ended it. */
struct End
{
  std::string output;
  int signal = 0;
};

/** Runs aFault on a thread named "traffic" of a process of its own. */
End RunInChild(void (*aFault)())
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    LogCrashes();
    std::thread([aFault] {
      const CrashThread crashThread("traffic");
      aFault();
    }).join();
    _exit(0);
  }
  close(ends[1]);
  End end;
  std::array<char, 4096> bytes{};
  ssize_t count = 0;
  while ((count = read(ends[0], bytes.data(), bytes.size())) > 0) {
    end.output.append(bytes.data(), static_cast<std::size_t>(count));
  }
  close(ends[0]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return end;
}

/** Uses more than 1 KB of stack a level. */
std::size_t Recurse(std::size_t aLevels)
{
  std::array<volatile char, 1024> frame{};
  frame[aLevels % frame.size()] = 1;
  return aLevels == 0 ? 0 : Recurse(aLevels - 1) + frame[0];
}

} // namespace

// Guards against a stack overflow that ends the process without a line: the
// handler needs a stack of its own.
TEST_CASE("crash log: the overflow of a thread's stack is logged")
{
  const End end = RunInChild([] { Recurse(1U << 20U); });
  CHECK(end.signal == SIGSEGV);
  CHECK(
    end.output.find("Z level=ERROR event=crashed signal=SIGSEGV thread=traffic "
                    "address=0x") != std::string::npos);
}

// Guards against an uncaught exception that ends the process without a line.
TEST_CASE("crash log: an exception that ends a thread is named")
{
  const End end =
    RunInChild([] { throw std::runtime_error("no \"room\" left"); });
  CHECK(end.signal == SIGABRT);
  CHECK(end.output.find("event=crashed signal=SIGABRT thread=traffic "
                        "error=\"no ?room? left\"\n") != std::string::npos);
}
