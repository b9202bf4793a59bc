#ifndef STANDIN_OBJECTTABLE_H
#define STANDIN_OBJECTTABLE_H

#include "lacewing/ObjectKey.h"
#include "standin/StoredObject.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lacewing {

/** The objects by key, and the versions that their tags are made of. */
class ObjectTable
{
public:
  using Objects = std::map<ObjectKey, StoredObject>;

  /** What a write requires of the object; absent members require nothing. */
  struct Condition
  {
    std::optional<ObjectTag> match;
    bool mustBeAbsent = false;
  };

  const Objects& All() const { return objects_; }

  bool Allows(const ObjectKey& aKey, const Condition& aCondition) const;

  ObjectTag Put(const ObjectKey& aKey, std::string aBody);

  /** Returns false when there is no such object. */
  bool Delete(const ObjectKey& aKey);

private:
  Objects objects_;
  // One counter for all objects, so that an object that is deleted and made
  // anew never has an earlier tag again.
  std::uint64_t lastVersion_ = 0;
};

/** The tag that a watch gives for an object that does not exist. */
ObjectTag AbsentTag();

/** The tag of aKey in aObjects, or AbsentTag(). */
ObjectTag TagOf(const ObjectTable::Objects& aObjects, const ObjectKey& aKey);

} // namespace lacewing

#endif // STANDIN_OBJECTTABLE_H
