#include "control/ControlState.h"

#include "core/NewIncarnation.h"

#include <chrono>
#include <random>
#include <utility>

namespace lacewing {

Outcome<std::unique_ptr<ControlState>> ControlState::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const ControlSettings& aSettings,
  const ControlTerms& aTerms,
  PeerLinksHandlers aHandlers,
  std::function<void()> aConfigChanged,
  std::function<void(const LeaseStateEntry&)> aLeaseChanged)
{
  BOOST_OUTCOME_TRY(auto links,
                    PeerLinks::Make(aContext,
                                    aClock,
                                    aSettings.host,
                                    aSettings.messages,
                                    std::move(aHandlers)));
  return std::unique_ptr<ControlState>(
    new ControlState(aContext,
                     aClock,
                     aSettings,
                     aTerms,
                     NewIncarnation(),
                     std::move(links),
                     std::move(aConfigChanged),
                     std::move(aLeaseChanged)));
}

ControlState::ControlState(
  asio::io_context& aContext,
  const Clock& aClock,
  const ControlSettings& aSettings,
  const ControlTerms& aTerms,
  Incarnation aIncarnation,
  std::unique_ptr<PeerLinks> aLinks,
  std::function<void()> aConfigChanged,
  std::function<void(const LeaseStateEntry&)> aLeaseChanged)
  : settings(aSettings)
  , terms(aTerms)
  , incarnation(aIncarnation)
  , members(aClock,
            aTerms,
            { aSettings.host,
              aSettings.messages.address,
              aSettings.zone,
              aIncarnation,
              MemberState::kLive })
  , configs(std::move(aConfigChanged))
  , store(aContext, { aSettings.platform })
  , links(std::move(aLinks))
  , follower(aContext, store, configs, aTerms, std::random_device()())
  , leases(aClock,
           store,
           aSettings.host,
           aIncarnation,
           leaseDirectory,
           std::move(aLeaseChanged))
  , memberExchange(aClock, members, *links)
  , configExchange(aClock, aTerms, configs, *links)
  , phaseManager(aClock,
                 index,
                 *links,
                 [this](ShardId aShard) { return leases.Holds(aShard); })
  , grantManager(aClock,
                 aSettings.host,
                 index,
                 phaseManager.Phases(),
                 leaseDirectory,
                 *links,
                 [this](ShardId aShard) { return leases.Holds(aShard); })
{
}

} // namespace lacewing
