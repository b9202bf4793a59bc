#ifndef FLEET_CATALOGSOURCE_H
#define FLEET_CATALOGSOURCE_H

#include "balance/WatchRole.h"
#include "catalog/CatalogChanges.h"
#include "catalog/CatalogKind.h"
#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "rollout/RolloutOrder.h"

#include <functional>
#include <vector>

namespace lacewing {

/**
 * Interface through which the control thread uses the platform's store.
 * Handlers run on the control thread, never from within a call.
 */
class CatalogSource
{
public:
  struct Events
  {
    /** Objects were listed or have changed. Also called if nothing differs. */
    std::function<void(CatalogKind, const CatalogChanges&)> onChanges;
    /**
     * The store was found to be reachable (true) or unreachable (false), for
     * the first time since watching began, otherwise than before, or by
     * TryReach.
     */
    std::function<void(bool)> onReachable;
  };
  using ListHandler = std::function<void(Outcome<std::vector<PeerAddress>>)>;
  using DoneHandler = std::function<void(Outcome<void>)>;

  virtual ~CatalogSource() = default;

  virtual void SetEvents(Events aEvents) = 0;

  /**
   * Starts or stops watching the store, or changes the pace of the watch. A
   * watch begins once the store has been found reachable. It continues from the
   * positions aKnown (by CatalogKind), and lists all objects of a kind whose
   * position is zero or of an earlier era.
   */
  virtual void Follow(WatchRole aRole,
                      const std::vector<StorePosition>& aKnown) = 0;

  /**
   * Reads all objects once, by the cheapest kind of read, whose result may be
   * some seconds old. It may come from before the store returned from a copy,
   * so it has no era and gives way to all that is read otherwise. Only a
   * configuration with customers is read a second time, as of now. A failure is
   * logged and not retried. Does nothing while this host watches the store.
   */
  virtual void ReadOnce() = 0;

  /**
   * Reads from the store once, by the cheapest kind of read, to learn whether
   * it is reachable. Does nothing while this host watches the store or an
   * earlier such read is running.
   */
  virtual void TryReach() = 0;

  /**
   * Reports the positions that peers have reached. A watch that stays behind
   * them is treated as failed.
   */
  virtual void NotePositions(const std::vector<StorePosition>& aPositions) = 0;

  /**
   * Writes this host's address to the store. Calling it again changes nothing.
   */
  virtual void RegisterHost(const PeerAddress& aSelf, DoneHandler aHandler) = 0;

  virtual void ListHosts(ListHandler aHandler) = 0;

  /**
   * Writes aState as the status of aOrder if the order's object still has the
   * revision of aOrder. Success means that the store has executed the write. A
   * failure leaves open whether it has or will; only the watch tells. Sources
   * of deployments without rollouts write nothing and never call the handler.
   */
  virtual void WriteRolloutStatus(const RolloutOrder& /*aOrder*/,
                                  RolloutState /*aState*/,
                                  DoneHandler /*aHandler*/)
  {
  }
};

} // namespace lacewing

#endif // FLEET_CATALOGSOURCE_H
