#ifndef CONTROL_CONTROLSTATE_H
#define CONTROL_CONTROLSTATE_H

#include "control/ConfigExchange.h"
#include "control/ConfigFollower.h"
#include "control/ConfigState.h"
#include "control/ControlSettings.h"
#include "control/GrantManager.h"
#include "control/LeaseManager.h"
#include "control/MemberExchange.h"
#include "control/PhaseManager.h"
#include "store/HttpObjectStore.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace lacewing {

/**
 * All state of the control daemon, owned by its one thread. The parts refer
 * to those above them.
 */
class ControlState
{
public:
  static Outcome<std::unique_ptr<ControlState>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const ControlSettings& aSettings,
    const ControlTerms& aTerms,
    PeerLinksHandlers aHandlers,
    std::function<void()> aConfigChanged,
    std::function<void(const LeaseStateEntry&)> aLeaseChanged);

  const ControlSettings settings;
  const ControlTerms terms;
  /** Names this run of the process; grows with each start. */
  const Incarnation incarnation;
  bool stopping = false;
  MemberTable members;
  ConfigState configs;
  TargetIndex index;
  HttpObjectStore store;
  LeaseDirectory leaseDirectory;
  std::unique_ptr<PeerLinks> links;
  ConfigFollower follower;
  LeaseManager leases;
  MemberExchange memberExchange;
  ConfigExchange configExchange;
  PhaseManager phaseManager;
  GrantManager grantManager;

private:
  ControlState(asio::io_context& aContext,
               const Clock& aClock,
               const ControlSettings& aSettings,
               const ControlTerms& aTerms,
               Incarnation aIncarnation,
               std::unique_ptr<PeerLinks> aLinks,
               std::function<void()> aConfigChanged,
               std::function<void(const LeaseStateEntry&)> aLeaseChanged);
};

} // namespace lacewing

#endif // CONTROL_CONTROLSTATE_H
