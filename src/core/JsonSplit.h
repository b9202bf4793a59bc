#ifndef CORE_JSONSPLIT_H
#define CORE_JSONSPLIT_H

#include <optional>
#include <string_view>
#include <vector>

namespace lacewing {

/** A member of a JSON object; both texts are as written, the key unquoted. */
struct JsonMember
{
  std::string_view key;
  std::string_view value;
};

/**
 * Split a JSON object or array into the texts of its parts. The parts are not
 * validated, so that one that cannot be decoded does not hide the others.
 * Takes constant stack whatever the nesting. Empty if aText is not an object or
 * an array, or if its parts cannot be told apart.
 */
std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view aText);
std::optional<std::vector<std::string_view>> SplitJsonArray(
  std::string_view aText);

/** The value of the last member with that key; empty if there is none. */
std::string_view JsonMemberOf(const std::vector<JsonMember>& aMembers,
                              std::string_view aKey);

} // namespace lacewing

#endif // CORE_JSONSPLIT_H
