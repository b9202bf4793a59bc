#include "core/JsonSplit.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";

/** Reads a JSON text from its start, part by part. */
class JsonScanner
{
public:
  explicit JsonScanner(std::string_view aText)
    : text_(aText)
  {
  }

  bool AtEnd()
  {
    SkipSpaces();
    return at_ == text_.size();
  }

  /** Takes aChar if it comes next. */
  bool Take(char aChar)
  {
    SkipSpaces();
    if (at_ == text_.size() || text_[at_] != aChar) {
      return false;
    }
    ++at_;
    return true;
  }

  /** Takes a string; the result is without its quotes. */
  std::optional<std::string_view> TakeString()
  {
    if (!Take('"')) {
      return std::nullopt;
    }
    const std::size_t begin = at_;
    return SkipRestOfString()
             ? std::make_optional(text_.substr(begin, at_ - begin - 1))
             : std::nullopt;
  }

  /** Takes a value of any type. */
  std::optional<std::string_view> TakeValue()
  {
    SkipSpaces();
    const std::size_t begin = at_;
    std::size_t depth = 0;
    while (at_ < text_.size()) {
      const char c = text_[at_];
      const bool closes = c == ']' || c == '}';
      if (depth == 0 && (closes || c == ',' || IsSpace(c))) {
        break;
      }
      ++at_;
      if (c == '"' && !SkipRestOfString()) {
        return std::nullopt;
      }
      depth += c == '[' || c == '{' ? 1 : 0;
      depth -= closes ? 1 : 0;
      if (depth == 0 && (closes || c == '"')) {
        break;
      }
    }
    return depth == 0 && at_ > begin
             ? std::make_optional(text_.substr(begin, at_ - begin))
             : std::nullopt;
  }

private:
  static bool IsSpace(char aChar)
  {
    return kSpaces.find(aChar) != std::string_view::npos;
  }

  void SkipSpaces()
  {
    at_ = std::min(text_.find_first_not_of(kSpaces, at_), text_.size());
  }

  /** Skips to behind the quote that ends a string; false if there is none. */
  bool SkipRestOfString()
  {
    while (at_ < text_.size()) {
      const char c = text_[at_++];
      if (c == '"') {
        return true;
      }
      at_ += c == '\\' && at_ < text_.size() ? 1 : 0;
    }
    return false;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

/** Splits what stands between two brackets; aTakePart takes a part. */
template<class TakePart>
bool Split(JsonScanner& aScanner,
           char aOpening,
           char aClosing,
           TakePart aTakePart)
{
  if (!aScanner.Take(aOpening)) {
    return false;
  }
  if (aScanner.Take(aClosing)) {
    return aScanner.AtEnd();
  }
  do {
    if (!aTakePart()) {
      return false;
    }
  } while (aScanner.Take(','));
  return aScanner.Take(aClosing) && aScanner.AtEnd();
}

} // namespace

std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view aText)
{
  JsonScanner scanner(aText);
  std::vector<JsonMember> members;
  const bool whole = Split(scanner, '{', '}', [&] {
    const auto key = scanner.TakeString();
    const auto value =
      key && scanner.Take(':') ? scanner.TakeValue() : std::nullopt;
    if (value) {
      members.push_back({ *key, *value });
    }
    return value.has_value();
  });
  return whole ? std::make_optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
  std::string_view aText)
{
  JsonScanner scanner(aText);
  std::vector<std::string_view> values;
  const bool whole = Split(scanner, '[', ']', [&] {
    const auto value = scanner.TakeValue();
    if (value) {
      values.push_back(*value);
    }
    return value.has_value();
  });
  return whole ? std::make_optional(std::move(values)) : std::nullopt;
}

std::string_view JsonMemberOf(const std::vector<JsonMember>& aMembers,
                              std::string_view aKey)
{
  const auto member =
    std::find_if(aMembers.rbegin(), aMembers.rend(), [&](const auto& aMember) {
      return aMember.key == aKey;
    });
  return member == aMembers.rend() ? std::string_view() : member->value;
}

} // namespace lacewing
