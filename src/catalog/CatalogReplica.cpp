#include "catalog/CatalogReplica.h"

#include "catalog/ItemOrder.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Number of removals stored for peers. It covers the removals of a day with a
// churn of a few hundred targets; a peer that needs older ones gets all
// objects.
constexpr std::size_t kMaxRemovals = 512;
// A copy of the store may lack most targets of a large site. Dropping one of
// these removals would take the target out of use before it can write again.
constexpr std::size_t kMaxUnconfirmedRemovals = 16384;
// The entries of targets have about 250 bytes. Larger ones, up to the store's
// 1 MB, would make the catalog too large for the peers that pull it.
constexpr std::size_t kMaxBody = 4096;

} // namespace

bool CatalogReplica::Put(CatalogKind aKind, CatalogItem aItem)
{
  if (aKind != CatalogKind::kConfiguration && aItem.body.size() > kMaxBody) {
    // Replaces an earlier entry of its name and names no target.
    aItem.body.clear();
  }
  KindState& state = states_[IndexOf(aKind)];
  const auto removal = state.removed.find(aItem.name);
  if (removal != state.removed.end()) {
    if (aItem.position < removal->second.position) {
      return false;
    }
    aItem.unconfirmed |= MayPrecede(aItem, removal->second);
  }
  const auto current = state.objects.find(aItem.name);
  if (current != state.objects.end()) {
    if (!IsNewer(aKind, aItem, current->second)) {
      return false;
    }
    aItem.unconfirmed |=
      current->second.unconfirmed && MayPrecede(aItem, current->second);
  } else if (aKind != CatalogKind::kConfiguration &&
             aItem.position <= state.listedAt) {
    // A newer list did not have the object, so it was removed before that list.
    return false;
  }
  if (removal != state.removed.end()) {
    state.removed.erase(removal);
  }
  const std::string name = aItem.name;
  state.objects[name] = std::move(aItem);
  return true;
}

bool CatalogReplica::Remove(CatalogKind aKind, const CatalogItem& aRemoval)
{
  if (aKind == CatalogKind::kConfiguration) {
    return false;
  }
  KindState& state = states_[IndexOf(aKind)];
  const auto current = state.objects.find(aRemoval.name);
  if (current != state.objects.end() &&
      current->second.position > aRemoval.position) {
    return false;
  }
  CatalogItem& removal = state.removed[aRemoval.name];
  const WriterVersion last = std::max(removal.writer, aRemoval.writer);
  bool corrected = false;
  if (removal.position < aRemoval.position) {
    corrected = removal.unconfirmed;
    removal = aRemoval;
  }
  if (current == state.objects.end()) {
    removal.writer = last;
    return corrected;
  }
  removal.writer = std::max(last, current->second.writer);
  state.objects.erase(current);
  return true;
}

/** Removes the objects that a list of all objects does not have. */
bool CatalogReplica::RemoveUnlisted(CatalogKind aKind,
                                    const CatalogChanges& aList)
{
  std::set<std::string> listed;
  for (const CatalogItem& item : aList.items) {
    if (!item.removed) {
      listed.insert(item.name);
    }
  }
  std::vector<CatalogItem> removals;
  for (const auto& [name, item] : ObjectsOf(aKind)) {
    if (listed.count(name) == 0) {
      CatalogItem removal;
      removal.name = name;
      removal.position = aList.position;
      removal.removed = true;
      // A copy of the store lacks objects that were written after it was made;
      // their writers write them again.
      removal.unconfirmed =
        aList.afterOutage || (item.position.era != StoreEra() &&
                              item.position.era != aList.position.era);
      removals.push_back(std::move(removal));
    }
  }
  // After another return the writers need as long again.
  for (const auto& [name, item] : states_[IndexOf(aKind)].removed) {
    if (item.unconfirmed && item.position.era < aList.position.era &&
        listed.count(name) == 0) {
      removals.push_back(item);
      removals.back().position = aList.position;
    }
  }
  bool changed = false;
  for (const CatalogItem& removal : removals) {
    changed |= Remove(aKind, removal);
  }
  return changed;
}

void CatalogReplica::DropOldRemovals(KindState& aState)
{
  DropOldest(aState, false, kMaxRemovals);
  DropOldest(aState, true, kMaxUnconfirmedRemovals);
}

/** Drops the oldest of the confirmed or unconfirmed removals beyond aLimit. */
void CatalogReplica::DropOldest(KindState& aState,
                                bool aUnconfirmed,
                                std::size_t aLimit)
{
  if (aState.removed.size() <= aLimit) {
    return;
  }
  std::vector<Objects::iterator> removals;
  for (auto at = aState.removed.begin(); at != aState.removed.end(); ++at) {
    if (at->second.unconfirmed == aUnconfirmed) {
      removals.push_back(at);
    }
  }
  if (removals.size() <= aLimit) {
    return;
  }
  std::sort(removals.begin(),
            removals.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->second.position < aRight->second.position;
            });
  removals.resize(removals.size() - aLimit);
  for (const Objects::iterator& oldest : removals) {
    aState.removalsDroppedUpTo =
      std::max(aState.removalsDroppedUpTo, oldest->second.position);
    aState.removed.erase(oldest);
  }
}

bool CatalogReplica::Apply(CatalogKind aKind, const CatalogChanges& aChanges)
{
  KindState& state = states_[IndexOf(aKind)];
  bool changed = false;
  for (const CatalogItem& item : aChanges.items) {
    if (!item.removed) {
      changed |= Put(aKind, item);
      continue;
    }
    CatalogItem removal = item;
    removal.unconfirmed |= aChanges.afterOutage;
    changed |= Remove(aKind, removal);
  }
  if (aChanges.full) {
    changed |= RemoveUnlisted(aKind, aChanges);
    state.listedAt = std::max(state.listedAt, aChanges.position);
  }
  state.position = std::max(state.position, aChanges.position);
  DropOldRemovals(state);
  changeCount_ += changed ? 1 : 0;
  return changed;
}

StorePosition CatalogReplica::PositionOf(CatalogKind aKind) const
{
  return states_[IndexOf(aKind)].position;
}

const CatalogReplica::Objects& CatalogReplica::ObjectsOf(
  CatalogKind aKind) const
{
  return states_[IndexOf(aKind)].objects;
}

const CatalogItem* CatalogReplica::UnconfirmedRemoval(
  CatalogKind aKind,
  const std::string& aName) const
{
  const Objects& removed = states_[IndexOf(aKind)].removed;
  const auto removal = removed.find(aName);
  return removal != removed.end() && removal->second.unconfirmed
           ? &removal->second
           : nullptr;
}

CatalogChanges CatalogReplica::Since(CatalogKind aKind,
                                     StorePosition aPosition) const
{
  const KindState& state = states_[IndexOf(aKind)];
  CatalogChanges changes;
  changes.position = state.position;
  // A position of an earlier era does not tell which of this era's changes are
  // known.
  changes.full = aPosition == StorePosition() ||
                 aPosition.era < state.position.era ||
                 aPosition < state.removalsDroppedUpTo;
  for (const auto& [name, item] : state.objects) {
    // A state that a copy lacks has an earlier position than the copy's.
    if (changes.full || item.position > aPosition ||
        item.position.era < state.position.era) {
      changes.items.push_back(item);
    }
  }
  // Absence from all objects does not tell that a removal is unconfirmed.
  for (const auto& [name, item] : state.removed) {
    if (changes.full ? item.unconfirmed : item.position > aPosition) {
      changes.items.push_back(item);
    }
  }
  return changes;
}

} // namespace lacewing
