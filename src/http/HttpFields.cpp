#include "http/HttpFields.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

char LowerAscii(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + 32) : aChar;
}

} // namespace

bool SameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aLeft, char aRight) {
                      return LowerAscii(aLeft) == LowerAscii(aRight);
                    });
}

void HttpFields::Add(std::string aName, std::string aValue)
{
  fields_.push_back({ std::move(aName), std::move(aValue) });
}

void HttpFields::Set(std::string aName, std::string aValue)
{
  Remove(aName);
  Add(std::move(aName), std::move(aValue));
}

void HttpFields::Remove(std::string_view aName)
{
  fields_.erase(std::remove_if(fields_.begin(),
                               fields_.end(),
                               [aName](const HttpField& aField) {
                                 return SameFieldName(aField.name, aName);
                               }),
                fields_.end());
}

const std::string* HttpFields::Find(std::string_view aName) const
{
  for (const HttpField& field : fields_) {
    if (SameFieldName(field.name, aName)) {
      return &field.value;
    }
  }
  return nullptr;
}

} // namespace lacewing
