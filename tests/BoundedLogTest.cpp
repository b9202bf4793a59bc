#include "core/BoundedLog.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <unistd.h>

using namespace lacewing;

namespace {

struct Pipe
{
  Pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe()
  {
    close(ends[0]);
    close(ends[1]);
  }

  std::string Read()
  {
    std::array<char, 1U << 20U> bytes{};
    const ssize_t count = read(ends[0], bytes.data(), bytes.size());
    return std::string(bytes.data(), static_cast<std::size_t>(count));
  }

  std::array<int, 2> ends{};
};

} // namespace

// Guards against a reader of the log that stops and takes the process along,
// and against memory that grows meanwhile.
TEST_CASE("log: a pipe that nobody reads never blocks; lost lines are counted")
{
  Pipe pipe;
  constexpr std::size_t kMost = 100000;
  BoundedLog log(pipe.ends[1], kMost);
  const std::string line(99, 'x');
  for (int i = 0; i < 5000; ++i) {
    log.Add(line + "\n");
    log.Flush();
  }
  const auto dropped = log.Dropped();
  CHECK(dropped > 0);
  CHECK(dropped < 5000);
  pipe.Read();
  log.Flush();
  log.Add("after\n");
  std::string rest;
  for (int i = 0; i < 10; ++i) {
    log.Flush();
    rest += pipe.Read();
    if (rest.find("after\n") != std::string::npos) {
      break;
    }
  }
  CHECK(rest.find("event=log-dropped lines=" + std::to_string(dropped)) !=
        std::string::npos);
}

// Guards against lines that are lost or changed while there is room.
TEST_CASE("log: lines arrive whole and in order")
{
  Pipe pipe;
  BoundedLog log(pipe.ends[1], 1000);
  log.Add("one\n");
  log.Add("two\n");
  log.Flush();
  CHECK(pipe.Read() == "one\ntwo\n");
  CHECK(log.Dropped() == 0);
}
