#include "load/TomlFile.h"

#include <sstream>
#include <toml++/toml.h>

namespace lacewing {

Outcome<nlohmann::json> ReadTomlFile(const std::string& aPath)
{
  try {
    std::ostringstream text;
    text << toml::json_formatter{ toml::parse_file(aPath) };
    return nlohmann::json::parse(text.str());
  } catch (const toml::parse_error& error) {
    std::ostringstream what;
    what << error;
    return Fail(ErrorKind::kInvalidSettings,
                "cannot read " + aPath + ": " + what.str(),
                "correct the file");
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorKind::kInvalidSettings,
                "cannot use " + aPath + ": " + error.what(),
                "use numbers that JSON has");
  }
}

} // namespace lacewing
