#ifndef BENCH_DECISIONSCENARIO_H
#define BENCH_DECISIONSCENARIO_H

#include "lacewing/Clock.h"

#include <cstdint>
#include <string>

namespace lacewing {

/** One row of the comparison: a deployment, a load and what goes wrong. */
struct DecisionScenario
{
  std::string name;
  unsigned hosts = 14;
  unsigned targets = 25;
  unsigned slots = 6;
  unsigned zones = 4;
  /** Zones that have entry hosts. */
  unsigned hostZones = 4;
  /** One way between zones, and within one. */
  Duration farTime = std::chrono::microseconds(1500);
  Duration nearTime = std::chrono::microseconds(250);
  Duration meanService = std::chrono::milliseconds(10);
  /** One request in this many takes ten times the mean; 0 for none. */
  unsigned longEach = 0;
  /** Part of all slots that the requests keep busy on average. */
  double load = 0.7;
  Duration reportPeriod = std::chrono::milliseconds(100);
  Duration length = std::chrono::seconds(6);
  /** When the slow period or the burst starts. */
  Duration faultStart = std::chrono::seconds(2);
  Duration faultLength{ 0 };
  /** Slowness of the first target during the fault. */
  int slowness = 1;
  /** Multiplies the arrival rate during the fault. */
  double burst = 1;
};

} // namespace lacewing

#endif // BENCH_DECISIONSCENARIO_H
