#include "standin/ObjectTable.h"

#include <utility>

namespace lacewing {

namespace {

ObjectTag MakeTag(std::uint64_t aVersion)
{
  return ObjectTag("\"" + std::to_string(aVersion) + "\"");
}

} // namespace

ObjectTag AbsentTag()
{
  return MakeTag(0);
}

ObjectTag TagOf(const ObjectTable::Objects& aObjects, const ObjectKey& aKey)
{
  const auto found = aObjects.find(aKey);
  return found == aObjects.end() ? AbsentTag() : found->second.tag;
}

bool ObjectTable::Allows(const ObjectKey& aKey,
                         const Condition& aCondition) const
{
  const ObjectTag current = TagOf(objects_, aKey);
  const bool absent = current == AbsentTag();
  if (aCondition.mustBeAbsent && !absent) {
    return false;
  }
  return !aCondition.match || (!absent && *aCondition.match == current);
}

ObjectTag ObjectTable::Put(const ObjectKey& aKey, std::string aBody)
{
  StoredObject& object = objects_[aKey];
  object.body = std::make_shared<const std::string>(std::move(aBody));
  object.tag = MakeTag(++lastVersion_);
  return object.tag;
}

bool ObjectTable::Delete(const ObjectKey& aKey)
{
  return objects_.erase(aKey) > 0;
}

} // namespace lacewing
