#ifndef HTTP_HTTPFIELDS_H
#define HTTP_HTTPFIELDS_H

#include "http/HttpField.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/** The header fields of a message in their order; names ignore case. */
class HttpFields
{
public:
  void Add(std::string aName, std::string aValue);

  /** Replaces every field of that name by one. */
  void Set(std::string aName, std::string aValue);

  void Remove(std::string_view aName);

  /** Removes the fields for which aCondition returns true. */
  template<class Condition>
  void RemoveIf(Condition aCondition)
  {
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(), aCondition),
                  fields_.end());
  }

  /** Makes room for aCount fields. */
  void Reserve(std::size_t aCount) { fields_.reserve(aCount); }

  /** The first value of that name, or null. */
  const std::string* Find(std::string_view aName) const;

  std::vector<HttpField>::const_iterator begin() const
  {
    return fields_.begin();
  }
  std::vector<HttpField>::const_iterator end() const { return fields_.end(); }
  std::size_t size() const { return fields_.size(); }

private:
  std::vector<HttpField> fields_;
};

/** Compares header names as RFC 9110 does, without regard to case. */
bool SameFieldName(std::string_view aLeft, std::string_view aRight);

} // namespace lacewing

#endif // HTTP_HTTPFIELDS_H
