#include "gateway/CallerIdentity.h"

#include "http/TrimBlanks.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kBlanks = " \t";

/** The value of the only field with a key; empty with none or several. */
std::optional<std::string_view> OnlyValue(const HttpFields& aFields)
{
  std::optional<std::string_view> value;
  for (const HttpField& field : aFields) {
    if (SameFieldName(field.name, kKeyField)) {
      if (value) {
        return std::nullopt;
      }
      value = field.value;
    }
  }
  return value;
}

/** The key in "Bearer KEY"; empty for another form. */
std::string_view KeyIn(std::string_view aValue)
{
  const std::string_view value = TrimBlanks(aValue);
  const std::size_t end = value.find_first_of(kBlanks);
  if (end == std::string_view::npos ||
      !SameFieldName(value.substr(0, end), kScheme)) {
    return {};
  }
  return TrimBlanks(value.substr(end));
}

/** The name as a lenient receiver may read it. */
std::string LenientName(std::string_view aName)
{
  std::string name;
  for (const char c : aName) {
    if (kBlanks.find(c) == std::string_view::npos) {
      name += c == '_' ? '-' : c;
    }
  }
  return name;
}

} // namespace

void RemoveIdentity(HttpFields& aFields, std::string_view aCustomerField)
{
  aFields.RemoveIf([aCustomerField](const HttpField& aField) {
    const std::string name = LenientName(aField.name);
    return SameFieldName(name, kKeyField) ||
           SameFieldName(name, aCustomerField);
  });
}

CallerIdentity IdentifyCaller(const HttpHead& aRequest,
                              const RouteSpec& aRoute,
                              const RouteTable& aRoutes)
{
  CallerIdentity identity;
  if (!aRoutes.NeedsKeys() || aRoute.isPublic) {
    return identity;
  }
  const std::string_view key = KeyIn(OnlyValue(aRequest.fields).value_or(""));
  identity.customer = aRoutes.Customers().FindByKey(key);
  identity.refused = identity.customer == nullptr;
  return identity;
}

} // namespace lacewing
