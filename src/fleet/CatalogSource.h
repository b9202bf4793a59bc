#ifndef FLEET_CATALOGSOURCE_H
#define FLEET_CATALOGSOURCE_H

#include "balance/WatchRole.h"
#include "catalog/CatalogChanges.h"
#include "catalog/CatalogKind.h"
#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <functional>
#include <vector>

namespace lacewing {

/**
 * The platform's store as the control thread uses it. Handlers run on the
 * control thread, never from within a call.
 */
class CatalogSource
{
public:
  struct Events
  {
    /** Objects changed, or were listed; also when nothing differs. */
    std::function<void(CatalogKind, const CatalogChanges&)> onChanges;
    /** The store answered or failed; told when that differs from before. */
    std::function<void(bool)> onReachable;
  };
  using ListHandler = std::function<void(Outcome<std::vector<PeerAddress>>)>;
  using DoneHandler = std::function<void(Outcome<void>)>;

  virtual ~CatalogSource() = default;

  virtual void SetEvents(Events aEvents) = 0;

  /**
   * Starts or stops watching, or changes its pace; a start goes on from aKnown
   * (by CatalogKind), and lists the objects of a kind where that is zero.
   */
  virtual void Follow(WatchRole aRole, const std::vector<Revision>& aKnown) = 0;

  /**
   * Reads everything once at the lowest price; what it brings may be some
   * seconds old. A failure is logged and not repeated. Does nothing while
   * following.
   */
  virtual void ReadOnce() = 0;

  /** Peers are at these revisions; a watch that stays behind has failed. */
  virtual void NoteRevisions(const std::vector<Revision>& aRevisions) = 0;

  /** Writes where this host is found; a repeat changes nothing. */
  virtual void RegisterHost(const PeerAddress& aSelf, DoneHandler aHandler) = 0;

  virtual void ListHosts(ListHandler aHandler) = 0;
};

} // namespace lacewing

#endif // FLEET_CATALOGSOURCE_H
