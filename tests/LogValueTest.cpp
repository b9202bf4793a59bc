#include "core/LogValue.h"

#include <doctest/doctest.h>

#include <string>

using namespace lacewing;

// Guards against text from outside that breaks a log line or fills the log.
TEST_CASE("odd log: a value neither breaks its line nor fills the log")
{
  CHECK(FormatLogValue("i-1") == "i-1");
  CHECK(FormatLogValue("") == "\"\"");
  CHECK(FormatLogValue("a \"b\\") == R"("a \"b\\")");
  CHECK(FormatLogValue("a\nb") == R"("a\nb")");
  CHECK(FormatLogValue("a\r\tb\x1b[2J") == R"("a\x0d\x09b\x1b[2J")");
  CHECK(FormatLogValue(std::string("a\0b", 3)) == R"("a\x00b")");
  CHECK(FormatLogValue(std::string(1'000'000, '\x1b')).size() < 10000);
}
