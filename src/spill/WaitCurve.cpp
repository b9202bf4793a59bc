#include "spill/WaitCurve.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewing {

namespace {

// The approximation's number of servers: the slots of one usual target. Hosts
// cannot balance perfectly among a zone's targets, so the zone's queue is
// closer to that of a target than to one of all its slots.
constexpr double kSlots = 6;
// Above this utilization the approximation grows without limit.
constexpr double kMaxUtilization = 0.998;
// Points of the table for the inverse; linear between them.
constexpr std::size_t kPoints = 500;

double Exponent()
{
  static const double exponent = std::sqrt(2 * (kSlots + 1)) - 1;
  return exponent;
}

using Table = std::array<double, kPoints>;

Table MakeTable()
{
  Table waits{};
  for (std::size_t i = 0; i < kPoints; ++i) {
    waits[i] = MarginalWait(static_cast<double>(i) / kPoints);
  }
  return waits;
}

} // namespace

double MeanWait(double aUtilization)
{
  const double used = std::clamp(aUtilization, 0.0, kMaxUtilization);
  return std::pow(used, Exponent()) / (kSlots * (1 - used));
}

double MarginalWait(double aUtilization)
{
  // The derivative of aUtilization * MeanWait(aUtilization).
  const double used = std::clamp(aUtilization, 0.0, kMaxUtilization);
  return MeanWait(used) * (1 + Exponent() + used / (1 - used));
}

double UtilizationAt(double aWait)
{
  static const Table waits = MakeTable();
  const auto above = std::upper_bound(waits.begin(), waits.end(), aWait);
  if (above == waits.begin()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(above - waits.begin());
  if (above == waits.end()) {
    return static_cast<double>(kPoints - 1) / kPoints;
  }
  const double below = waits[index - 1];
  const double part = (aWait - below) / (*above - below);
  return (static_cast<double>(index - 1) + part) / kPoints;
}

} // namespace lacewing
