#ifndef CATALOG_CATALOGREPLICA_H
#define CATALOG_CATALOGREPLICA_H

#include "catalog/CatalogChanges.h"
#include "catalog/CatalogKind.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/**
 * A host's copy of the store's objects of each kind. Changes may arrive from
 * the store or from peers, in any order and more than once. ItemOrder.h says
 * which of two states of an object is kept. A configuration is only replaced,
 * never removed, since a host without one can serve nothing.
 */
class CatalogReplica
{
public:
  using Objects = std::map<std::string, CatalogItem>;

  /** Returns whether any object was added, changed or removed. */
  bool Apply(CatalogKind aKind, const CatalogChanges& aChanges);

  /**
   * Returns the position up to which the copy is complete; zero before any
   * changes were applied.
   */
  StorePosition PositionOf(CatalogKind aKind) const;

  /**
   * Counts the changes of objects, which need not advance a position: a peer
   * may hold a state that the store has lost.
   */
  std::uint64_t ChangeCount() const { return changeCount_; }

  /** The objects that exist, by name. */
  const Objects& ObjectsOf(CatalogKind aKind) const;

  /** The removal of an object that may be written again soon, or null. */
  const CatalogItem* UnconfirmedRemoval(CatalogKind aKind,
                                        const std::string& aName) const;

  /**
   * Returns the changes after aPosition and the states of earlier eras that are
   * still in force; all objects and all unconfirmed removals if aPosition is
   * zero, of an earlier era, or older than a removal that is no longer stored.
   */
  CatalogChanges Since(CatalogKind aKind, StorePosition aPosition) const;

private:
  struct KindState
  {
    StorePosition position;
    /** Position of the newest list of all objects that was applied. */
    StorePosition listedAt;
    Objects objects;
    /** Removed objects, stored so that peers are informed of the removal. */
    Objects removed;
    /** Removals up to this position may no longer be stored. */
    StorePosition removalsDroppedUpTo;
  };

  bool Remove(CatalogKind aKind, const CatalogItem& aRemoval);
  bool Put(CatalogKind aKind, CatalogItem aItem);
  bool RemoveUnlisted(CatalogKind aKind, const CatalogChanges& aList);
  static void DropOldRemovals(KindState& aState);
  static void DropOldest(KindState& aState,
                         bool aUnconfirmed,
                         std::size_t aLimit);

  std::array<KindState, kMaxCatalogKinds> states_;
  std::uint64_t changeCount_ = 0;
};

} // namespace lacewing

#endif // CATALOG_CATALOGREPLICA_H
