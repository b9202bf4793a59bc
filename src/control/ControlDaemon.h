#ifndef CONTROL_CONTROLDAEMON_H
#define CONTROL_CONTROLDAEMON_H

#include "control/ControlSettings.h"
#include "control/ControlTerms.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

class ControlState;

/**
 * The control daemon: follows store and host list, exchanges state with its
 * peers, holds leases, gives grants and serves the entryd of its host. Runs on
 * the one thread of its io_context.
 */
class ControlDaemon
{
public:
  /** Listens at once; fails when an address cannot be bound. */
  static Outcome<std::unique_ptr<ControlDaemon>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const ControlSettings& aSettings,
    const ControlTerms& aTerms);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  /** Tells peers, gives the leases up and calls aDone, once. */
  void Stop(std::function<void()> aDone);

  const ControlState& State() const;

private:
  class Impl;
  explicit ControlDaemon(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // CONTROL_CONTROLDAEMON_H
