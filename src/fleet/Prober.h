#ifndef FLEET_PROBER_H
#define FLEET_PROBER_H

#include "balance/LoadReading.h"
#include "fleet/ProbeTarget.h"
#include "gateway/HeaderNames.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/** Probes the targets that this host owns for their health and load. */
class Prober
{
public:
  using Handler = std::function<void(const LoadReading&)>;

  Prober(asio::io_context& aContext,
         const Clock& aClock,
         const HeaderNames& aNames,
         Handler aHandler);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  /**
   * Replaces the targets to probe. Connections to targets that remain are kept.
   */
  void SetTargets(const std::vector<ProbeTarget>& aTargets);

  /** Starts a probe of each target that has none in progress. */
  void ProbeAll();

  std::uint64_t ProbeCount() const;
  std::size_t TargetCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_PROBER_H
