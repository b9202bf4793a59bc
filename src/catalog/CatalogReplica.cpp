#include "catalog/CatalogReplica.h"

#include <algorithm>
#include <set>
#include <vector>

namespace lacewing {

namespace {

// Number of removals stored for peers. It covers the removals of a day with a
// churn of a few hundred targets; a peer that needs older ones gets all
// objects.
constexpr std::size_t kMaxRemovals = 512;

} // namespace

bool CatalogReplica::Put(KindState& aState, const CatalogItem& aItem)
{
  const auto removal = aState.removed.find(aItem.name);
  if (removal != aState.removed.end()) {
    if (aItem.revision < removal->second.revision) {
      return false;
    }
    aState.removed.erase(removal);
  }
  const auto current = aState.objects.find(aItem.name);
  // A newer list did not have the object, so it was removed before that list.
  const Revision atLeast = current == aState.objects.end()
                             ? aState.listedAt
                             : current->second.revision;
  if (aItem.revision <= atLeast) {
    return false;
  }
  aState.objects[aItem.name] = aItem;
  return true;
}

bool CatalogReplica::Remove(KindState& aState,
                            const std::string& aName,
                            Revision aRevision)
{
  const auto current = aState.objects.find(aName);
  if (current != aState.objects.end() && current->second.revision > aRevision) {
    return false;
  }
  CatalogItem& removal = aState.removed[aName];
  removal.name = aName;
  removal.removed = true;
  removal.revision =
    Revision(std::max(removal.revision.value(), aRevision.value()));
  if (current == aState.objects.end()) {
    return false;
  }
  aState.objects.erase(current);
  return true;
}

void CatalogReplica::DropOldRemovals(KindState& aState)
{
  while (aState.removed.size() > kMaxRemovals) {
    const auto oldest =
      std::min_element(aState.removed.begin(),
                       aState.removed.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.revision < aRight.second.revision;
                       });
    aState.removalsDroppedUpTo = Revision(std::max(
      aState.removalsDroppedUpTo.value(), oldest->second.revision.value()));
    aState.removed.erase(oldest);
  }
}

bool CatalogReplica::Apply(CatalogKind aKind, const CatalogChanges& aChanges)
{
  KindState& state = states_[IndexOf(aKind)];
  bool changed = false;
  std::set<std::string> listed;
  for (const CatalogItem& item : aChanges.items) {
    if (item.removed) {
      changed |= Remove(state, item.name, item.revision);
    } else {
      listed.insert(item.name);
      changed |= Put(state, item);
    }
  }
  if (aChanges.full) {
    std::vector<std::string> missing;
    for (const auto& [name, item] : state.objects) {
      if (listed.count(name) == 0) {
        missing.push_back(name);
      }
    }
    for (const std::string& name : missing) {
      changed |= Remove(state, name, aChanges.revision);
    }
  }
  if (aChanges.full) {
    state.listedAt = std::max(state.listedAt, aChanges.revision);
  }
  state.revision = std::max(state.revision, aChanges.revision);
  DropOldRemovals(state);
  return changed;
}

Revision CatalogReplica::RevisionOf(CatalogKind aKind) const
{
  return states_[IndexOf(aKind)].revision;
}

const CatalogReplica::Objects& CatalogReplica::ObjectsOf(
  CatalogKind aKind) const
{
  return states_[IndexOf(aKind)].objects;
}

CatalogChanges CatalogReplica::Since(CatalogKind aKind,
                                     Revision aRevision) const
{
  const KindState& state = states_[IndexOf(aKind)];
  CatalogChanges changes;
  changes.revision = state.revision;
  changes.full =
    aRevision == Revision() || aRevision < state.removalsDroppedUpTo;
  for (const auto& [name, item] : state.objects) {
    if (changes.full || item.revision > aRevision) {
      changes.items.push_back(item);
    }
  }
  if (!changes.full) {
    for (const auto& [name, item] : state.removed) {
      if (item.revision > aRevision) {
        changes.items.push_back(item);
      }
    }
  }
  return changes;
}

} // namespace lacewing
