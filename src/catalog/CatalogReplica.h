#ifndef CATALOG_CATALOGREPLICA_H
#define CATALOG_CATALOGREPLICA_H

#include "catalog/CatalogChanges.h"
#include "catalog/CatalogKind.h"

#include <array>
#include <map>
#include <string>

namespace lacewing {

/**
 * A host's copy of the store's objects of each kind. Changes may come from
 * the store or from peers, in any order and more than once; an object never
 * goes back to a lower revision.
 */
class CatalogReplica
{
public:
  using Objects = std::map<std::string, CatalogItem>;

  /** Returns whether an object changed. */
  bool Apply(CatalogKind aKind, const CatalogChanges& aChanges);

  /** Up to where the copy is complete; zero when nothing was read. */
  Revision RevisionOf(CatalogKind aKind) const;

  /** All objects that exist. */
  const Objects& ObjectsOf(CatalogKind aKind) const;

  /** What changed after aRevision; all objects when that is not known. */
  CatalogChanges Since(CatalogKind aKind, Revision aRevision) const;

private:
  struct KindState
  {
    Revision revision;
    Objects objects;
    /** Removed objects, kept so that peers hear of the removal. */
    Objects removed;
    /** Removals up to here may have been forgotten. */
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
