#ifndef FLEET_ROLLOUTMESSENGER_H
#define FLEET_ROLLOUTMESSENGER_H

#include "fleet/EvidenceReader.h"
#include "fleet/HostIdentity.h"
#include "fleet/OrdersInProgress.h"
#include "fleet/PeerExchange.h"
#include "rollout/DirectiveTable.h"

#include <memory>
#include <vector>

namespace lacewing {

/**
 * Exchanges evidence and directives of the orders in progress with the other
 * hosts. Evidence goes from each host to the speakers of its zone, and from
 * them as the zone's to the other zones. Directives go from the deciding host
 * to its zone and the other zones' speakers, which pass them on in their zones.
 * Sends nothing without an order in progress.
 */
class RolloutMessenger : public std::enable_shared_from_this<RolloutMessenger>
{
public:
  RolloutMessenger(const Clock& aClock,
                   const HostIdentity& aIdentity,
                   PeerExchange& aPeers,
                   OrdersInProgress& aOrders,
                   DirectiveTable& aDirectives);

  void SetEvidenceReader(EvidenceReader aReader);

  /**
   * Takes what another host sent. Directives that change what hosts do are
   * passed on in the zone.
   */
  void OnMessage(const PeerHeartbeat& aHeartbeat);

  /** Sums up the evidence of this host's zone. */
  void CollectZone();

  /**
   * Periodic step: reads this host's evidence and sends what is due, at once if
   * aChanged says that this host has decided on another directive.
   */
  void Tick(bool aChanged);

private:
  EvidenceSource Self() const;
  std::vector<HostId> LiveHosts() const;
  std::vector<RolloutDirective> Directives() const;
  void ReadEvidence();
  void OnOwnEvidence(const std::vector<RolloutEvidence>& aEvidence);

  const Clock& clock_;
  const HostIdentity identity_;
  PeerExchange& peers_;
  OrdersInProgress& orders_;
  DirectiveTable& directives_;
  EvidenceReader reader_;
  std::vector<RolloutEvidence> zoneEvidence_;
  TimePoint sentAt_;
  TimePoint evidenceReadAt_;
  /** The traffic thread has not responded to the last read yet. */
  bool reading_ = false;
};

} // namespace lacewing

#endif // FLEET_ROLLOUTMESSENGER_H
