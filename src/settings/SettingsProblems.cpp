#include "settings/SettingsProblems.h"

namespace lacewing {

namespace {

std::string LastPart(const std::string& aKey)
{
  const std::size_t dot = aKey.rfind('.');
  return dot == std::string::npos ? aKey : aKey.substr(dot + 1);
}

/** A known key with the same last part, or else every known key. */
std::string Suggestion(const std::string& aKey,
                       const std::set<std::string>& aKnown)
{
  std::string all;
  for (const std::string& known : aKnown) {
    if (LastPart(known) == LastPart(aKey)) {
      return "did you mean " + known + "?";
    }
    all += all.empty() ? known : ", " + known;
  }
  return "remove it or use one of: " + all;
}

} // namespace

void SettingsProblems::Add(const std::string& aKey,
                           const SettingValue& aValue,
                           const Error& aError)
{
  AddLine(std::to_string(aValue.line),
          "key " + aKey + ": " + aError.what + "; " + aError.remedy);
}

void SettingsProblems::AddMissing(const std::string& aKey)
{
  AddLine("0", "key " + aKey + ": missing; add it");
}

void SettingsProblems::AddUnknown(const std::string& aKey,
                                  const SettingValue& aValue,
                                  const std::set<std::string>& aKnown)
{
  AddLine(std::to_string(aValue.line),
          "key " + aKey + ": unknown; " + Suggestion(aKey, aKnown));
}

void SettingsProblems::AddLine(const std::string& aPlace,
                               const std::string& aText)
{
  if (!text_.empty()) {
    text_ += "\n";
  }
  text_ += file_ + ":" + aPlace + ": " + aText;
}

Error SettingsProblems::ToError() const
{
  return { ErrorKind::kInvalidSettings, text_, "correct the lines named" };
}

} // namespace lacewing
