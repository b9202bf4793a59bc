#include "settings/SettingsDocument.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace lacewing {

namespace {

std::string TextOf(const toml::node& aNode)
{
  std::ostringstream text;
  aNode.visit([&text](const auto& aValue) { text << aValue; });
  return text.str();
}

SettingValue ToValue(const toml::node& aNode)
{
  SettingValue value;
  value.line = aNode.source().begin.line;
  value.text = TextOf(aNode);
  if (const auto* text = aNode.as_string()) {
    value.value = text->get();
  } else if (const auto* number = aNode.as_integer()) {
    value.value = number->get();
  } else if (const auto* flag = aNode.as_boolean()) {
    value.value = flag->get();
  }
  return value;
}

void Flatten(const toml::table& aTable,
             const std::string& aPrefix,
             std::map<std::string, SettingValue>& aValues)
{
  for (const auto& [key, node] : aTable) {
    const std::string name = aPrefix + std::string(key.str());
    if (const auto* table = node.as_table()) {
      Flatten(*table, name + ".", aValues);
    } else {
      aValues.emplace(name, ToValue(node));
    }
  }
}

} // namespace

Outcome<SettingsDocument> SettingsDocument::ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(ErrorKind::kInvalidSettings,
                aFile + ": cannot be read",
                "check the path and the permissions");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str(), aFile);
}

Outcome<SettingsDocument> SettingsDocument::Parse(const std::string& aText,
                                                  const std::string& aFile)
{
  SettingsDocument document;
  document.file = aFile;
  try {
    Flatten(toml::parse(aText), "", document.values);
  } catch (const toml::parse_error& error) {
    return Fail(ErrorKind::kInvalidSettings,
                aFile + ":" + std::to_string(error.source().begin.line) + ": " +
                  std::string(error.description()),
                "write valid TOML");
  }
  return document;
}

} // namespace lacewing
