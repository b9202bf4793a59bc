#ifndef CATALOG_CATALOGREPLICA_H
#define CATALOG_CATALOGREPLICA_H

#include "catalog/CatalogChanges.h"
#include "catalog/CatalogKind.h"

#include <array>
#include <map>
#include <string>

namespace lacewing {

/**
 * A host's copy of the store's objects of each kind. Changes may arrive from
 * the store or from peers, in any order and more than once. An object is never
 * replaced by a lower revision of itself.
 */
class CatalogReplica
{
public:
  using Objects = std::map<std::string, CatalogItem>;

  /** Returns whether any object was added, changed or removed. */
  bool Apply(CatalogKind aKind, const CatalogChanges& aChanges);

  /**
   * Returns the revision up to which the copy is complete; zero before any
   * changes were applied.
   */
  Revision RevisionOf(CatalogKind aKind) const;

  /** The objects that exist, by name. */
  const Objects& ObjectsOf(CatalogKind aKind) const;

  /**
   * Returns the changes after aRevision; all objects if aRevision is zero or
   * older than a removal that is no longer stored.
   */
  CatalogChanges Since(CatalogKind aKind, Revision aRevision) const;

private:
  struct KindState
  {
    Revision revision;
    /** Revision of the newest list of all objects that was applied. */
    Revision listedAt;
    Objects objects;
    /** Removed objects, stored so that peers are informed of the removal. */
    Objects removed;
    /** Removals up to this revision may no longer be stored. */
    Revision removalsDroppedUpTo;
  };

  static bool Remove(KindState& aState,
                     const std::string& aName,
                     Revision aRevision);
  static bool Put(KindState& aState, const CatalogItem& aItem);
  static void DropOldRemovals(KindState& aState);

  std::array<KindState, kCatalogKinds.size()> states_;
};

} // namespace lacewing

#endif // CATALOG_CATALOGREPLICA_H
