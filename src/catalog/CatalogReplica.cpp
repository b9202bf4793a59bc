#include "catalog/CatalogReplica.h"

#include <algorithm>
#include <set>
#include <vector>

namespace lacewing {

namespace {

// Removals that are remembered for peers; a day's churn of a few hundred
// targets fits, and a peer that asks further back gets everything.
constexpr std::size_t kMaxRemoved = 512;

} // namespace

bool CatalogReplica::Put(Part& aPart, const CatalogItem& aItem)
{
  const auto gone = aPart.removed.find(aItem.name);
  if (gone != aPart.removed.end()) {
    if (aItem.revision < gone->second.revision) {
      return false;
    }
    aPart.removed.erase(gone);
  }
  CatalogItem& held = aPart.objects[aItem.name];
  if (aItem.revision <= held.revision) {
    return false;
  }
  held = aItem;
  return true;
}

bool CatalogReplica::Remove(Part& aPart,
                            const std::string& aName,
                            Revision aRevision)
{
  const auto held = aPart.objects.find(aName);
  if (held != aPart.objects.end() && held->second.revision > aRevision) {
    return false;
  }
  CatalogItem& gone = aPart.removed[aName];
  gone.name = aName;
  gone.removed = true;
  gone.revision = Revision(std::max(gone.revision.value(), aRevision.value()));
  if (held == aPart.objects.end()) {
    return false;
  }
  aPart.objects.erase(held);
  return true;
}

void CatalogReplica::Forget(Part& aPart)
{
  while (aPart.removed.size() > kMaxRemoved) {
    const auto oldest =
      std::min_element(aPart.removed.begin(),
                       aPart.removed.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.revision < aRight.second.revision;
                       });
    aPart.forgotten = Revision(
      std::max(aPart.forgotten.value(), oldest->second.revision.value()));
    aPart.removed.erase(oldest);
  }
}

bool CatalogReplica::Apply(CatalogKind aKind, const CatalogChanges& aChanges)
{
  Part& part = parts_[IndexOf(aKind)];
  bool changed = false;
  std::set<std::string> listed;
  for (const CatalogItem& item : aChanges.items) {
    if (item.removed) {
      changed |= Remove(part, item.name, item.revision);
    } else {
      listed.insert(item.name);
      changed |= Put(part, item);
    }
  }
  if (aChanges.full) {
    std::vector<std::string> missing;
    for (const auto& [name, item] : part.objects) {
      if (listed.count(name) == 0) {
        missing.push_back(name);
      }
    }
    for (const std::string& name : missing) {
      changed |= Remove(part, name, aChanges.revision);
    }
  }
  if (part.revision < aChanges.revision) {
    part.revision = aChanges.revision;
  }
  Forget(part);
  return changed;
}

Revision CatalogReplica::RevisionOf(CatalogKind aKind) const
{
  return parts_[IndexOf(aKind)].revision;
}

const CatalogReplica::Objects& CatalogReplica::ObjectsOf(
  CatalogKind aKind) const
{
  return parts_[IndexOf(aKind)].objects;
}

CatalogChanges CatalogReplica::Since(CatalogKind aKind,
                                     Revision aRevision) const
{
  const Part& part = parts_[IndexOf(aKind)];
  CatalogChanges changes;
  changes.revision = part.revision;
  changes.full = aRevision == Revision() || aRevision < part.forgotten;
  for (const auto& [name, item] : part.objects) {
    if (changes.full || item.revision > aRevision) {
      changes.items.push_back(item);
    }
  }
  if (!changes.full) {
    for (const auto& [name, item] : part.removed) {
      if (item.revision > aRevision) {
        changes.items.push_back(item);
      }
    }
  }
  return changes;
}

} // namespace lacewing
