#include "control/ControlSettingsReader.h"

#include "core/Log.h"
#include "settings/ReadSettings.h"

#include <vector>

namespace lacewing {

namespace {

const std::vector<SettingsKey<ControlSettings>>& Keys()
{
  using S = ControlSettings;
  static const std::vector<SettingsKey<S>> keys = {
    MakeKey("deployment", Presence::kOptional, &S::deployment),
    MakeKey("host", Presence::kRequired, &S::host),
    MakeKey("zone", Presence::kRequired, &S::zone),
    MakeKey("messages", Presence::kRequired, &S::messages),
    MakeKey("admin", Presence::kRequired, &S::admin),
    MakeKey("platform", Presence::kRequired, &S::platform),
    MakeKey("log_level", Presence::kOptional, &S::logLevel),
  };
  return keys;
}

Outcome<ControlSettings> FromDocument(const SettingsDocument& aDocument)
{
  BOOST_OUTCOME_TRY(auto settings, ReadSettings(aDocument, Keys()));
  BOOST_OUTCOME_TRY(ParseLogLevel(settings.logLevel));
  return settings;
}

} // namespace

Outcome<ControlSettings> ParseControlSettings(const std::string& aText)
{
  BOOST_OUTCOME_TRY(auto document, SettingsDocument::Parse(aText, "settings"));
  return FromDocument(document);
}

Outcome<ControlSettings> ReadControlSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(auto document, SettingsDocument::ReadFile(aPath));
  return FromDocument(document);
}

} // namespace lacewing
