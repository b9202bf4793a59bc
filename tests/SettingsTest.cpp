#include "settings/ReadSettings.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

struct SampleSettings
{
  std::string name;
  std::chrono::milliseconds drainDelay{ 0 };
  ByteCount maxBody;
  unsigned threads = 1;
};

const std::vector<SettingsKey<SampleSettings>>& Keys()
{
  static const std::vector<SettingsKey<SampleSettings>> keys{
    MakeKey("host.id", Presence::kRequired, &SampleSettings::name),
    MakeKey("stop.drain_delay",
            Presence::kOptional,
            &SampleSettings::drainDelay,
            Bound("0 ms"),
            Bound("60 s")),
    MakeKey("limits.max_body",
            Presence::kOptional,
            &SampleSettings::maxBody,
            Bound("1 KiB"),
            Bound("64 MiB")),
    MakeKey("limits.threads",
            Presence::kOptional,
            &SampleSettings::threads,
            Bound(1),
            Bound(64)),
  };
  return keys;
}

Outcome<SampleSettings> Read(const std::string& aText)
{
  auto document = SettingsDocument::Parse(aText, "entry.toml");
  if (!document) {
    return outcome::failure(document.error());
  }
  return ReadSettings(document.value(), Keys());
}

} // namespace

TEST_CASE("settings are read with their units")
{
  const auto settings = Read("[host]\nid = \"p1\"\n"
                             "[stop]\ndrain_delay = \"250 ms\"\n"
                             "[limits]\nmax_body = \"8 MiB\"\nthreads = 2\n");
  REQUIRE(settings);
  CHECK(settings.value().name == "p1");
  CHECK(settings.value().drainDelay == std::chrono::milliseconds(250));
  CHECK(settings.value().maxBody == ByteCount(8U << 20U));
  CHECK(settings.value().threads == 2);
}

// Guards against a daemon that starts with a misread or misspelt key.
TEST_CASE("every problem is reported with line, key, value and remedy")
{
  const auto settings = Read("[stop]\ndrain_delay = 250\n"
                             "[limits]\nmax_body = \"8 Mb\"\nthreads = 65\n"
                             "drain_delay = \"1 s\"\n");
  REQUIRE(!settings);
  const std::string text = settings.error().what;
  for (const char* expected :
       { "entry.toml:0: key host.id: missing; add it",
         "entry.toml:2: key stop.drain_delay: found 250; write a text with a "
         "unit, as in \"250 ms\"",
         "entry.toml:4: key limits.max_body: \"8 Mb\" is not a size; write a "
         "whole number with B, KiB, MiB or GiB, as in \"8 MiB\"",
         "entry.toml:5: key limits.threads: found 65; write a value from 1 to "
         "64",
         "entry.toml:6: key limits.drain_delay: unknown; did you mean "
         "stop.drain_delay?" }) {
    CAPTURE(text);
    CHECK(text.find(expected) != std::string::npos);
  }
}

// Guards against a syntax error being reported without its place.
TEST_CASE("a syntax error names file and line")
{
  const auto settings = Read("[host]\nid = \n");
  REQUIRE(!settings);
  CHECK(settings.error().what.find("entry.toml:2") == 0);
}

// Guards against overflow and rounding when units are read.
TEST_CASE("units are parsed strictly")
{
  CHECK(ParseDuration("15 min").value() == std::chrono::minutes(15));
  CHECK(ParseDuration("3s").value() == std::chrono::seconds(3));
  CHECK(!ParseDuration("99999999999999 h"));
  CHECK(!ParseDuration("-1 s"));
  CHECK(!ParseDuration("1.5 s"));
  CHECK(!ParseByteCount("1 kB"));
  CHECK(ParseShare("2.5 %").value() == BasisPoints(250));
  CHECK(ParseShare("100%").value() == BasisPoints(10000));
  CHECK(!ParseShare("100.01 %"));
  CHECK(!ParseShare("1.234 %"));
  CHECK(FormatDuration(std::chrono::milliseconds(1500)) == "1500 ms");
  CHECK(FormatByteCount(ByteCount(8U << 20U)) == "8 MiB");
  CHECK(FormatShare(BasisPoints(250)) == "2.50 %");
}
