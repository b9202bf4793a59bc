#ifndef LOAD_LOADTALLY_H
#define LOAD_LOADTALLY_H

#include "load/CheckedAnswer.h"
#include "metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/** What became of the requests of one phase and kind. */
struct LoadTally
{
  std::uint64_t sent = 0;
  /** Arrivals that were not sent because too many were in flight. */
  std::uint64_t overrun = 0;
  std::uint64_t whole = 0;
  std::uint64_t mismatched = 0;
  std::uint64_t shortened = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t errors = 0;
  /** How often each reason was given for a request that is not whole. */
  std::map<std::string, std::uint64_t> reasons;
  /** From the intended arrival to the end, of requests answered whole. */
  LatencyHistogram latency;
  /** The same of all requests. */
  LatencyHistogram allLatency;
  /** How late requests were sent; large when the load tool is too slow. */
  LatencyHistogram sendLag;
  Duration longest{};

  void Add(const CheckedAnswer& aAnswer, Duration aLatency);
  void Merge(const LoadTally& aOther);
};

} // namespace lacewing

#endif // LOAD_LOADTALLY_H
