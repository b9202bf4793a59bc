#include "config/ConfigChange.h"

namespace lacewing {

namespace {

std::string Describe(const FieldChange& aField, ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::kAdded:
      return aField.field + " " + aField.after;
    case ChangeKind::kRemoved:
      return aField.field + " was " + aField.before;
    case ChangeKind::kChanged:
      return aField.field + " from " + aField.before + " to " + aField.after;
  }
  return aField.field;
}

} // namespace

std::string ConfigChange::ToString() const
{
  std::string text = std::string(lacewing::ToString(object)) + " " + id + ": " +
                     lacewing::ToString(kind);
  const char* separator = ": ";
  for (const FieldChange& field : fields) {
    text += separator + Describe(field, kind);
    separator = ", ";
  }
  return text;
}

} // namespace lacewing
