#include "metrics/MetricsPage.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace std::chrono_literals;

// Guards against quantiles that are off by more than a bin.
TEST_CASE("quantiles lie within two bins of the exact value")
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i * 100us);
  }
  LatencyHistogram other;
  other.Merge(histogram);
  const auto near = [](Duration aFound, Duration aExact) {
    return aFound > aExact * 96 / 100 && aFound < aExact * 104 / 100;
  };
  CHECK(near(other.Quantile(0.5), 50ms));
  CHECK(near(other.Quantile(0.99), 99ms));
  CHECK(other.Count() == 1000);
  CHECK(LatencyHistogram().Quantile(0.99) == 0ns);
}

// Guards against a page that a scraper cannot read.
TEST_CASE("the page groups samples by metric and escapes labels")
{
  MetricsPage page;
  page.AddCounter("requests_total", "Requests.", { { "reason", "a\"b" } }, 3);
  page.AddGauge("open", "Open requests.", {}, 2);
  page.AddCounter("requests_total", "Requests.", {}, 4);
  CHECK(page.ToString() == "# HELP open Open requests.\n"
                           "# TYPE open gauge\n"
                           "open 2\n"
                           "# HELP requests_total Requests.\n"
                           "# TYPE requests_total counter\n"
                           "requests_total{reason=\"a\\\"b\"} 3\n"
                           "requests_total 4\n");
}
