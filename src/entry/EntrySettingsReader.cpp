#include "entry/EntrySettingsReader.h"

#include "settings/ReadSettings.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::string_view kStaticPrefix = "static.";
constexpr std::string_view kTargetsPrefix = "targets.";

template<class Member>
SettingsKey<EntrySettings> MakeLimitKey(std::string aName,
                                        Member EntryLimits::*aMember)
{
  return { std::move(aName),
           Presence::kOptional,
           [aMember](const SettingValue& aValue, EntrySettings& aSettings) {
             return ParseSetting(aValue, aSettings.limits.*aMember);
           } };
}

Outcome<void> AssignControld(const SettingValue& aValue,
                             EntrySettings& aSettings)
{
  return ParseSetting(aValue, aSettings.controld.emplace());
}

/** Reads methods separated by spaces. */
Outcome<void> AssignIdempotent(const SettingValue& aValue,
                               ServiceConfig& aService)
{
  std::string text;
  BOOST_OUTCOME_TRY(ParseSetting(aValue, text));
  aService.idempotentMethods.clear();
  std::size_t first = 0;
  while ((first = text.find_first_not_of(' ', first)) != std::string::npos) {
    const std::size_t end = std::min(text.find(' ', first), text.size());
    aService.idempotentMethods.insert(text.substr(first, end - first));
    first = end;
  }
  return outcome::success();
}

const std::vector<SettingsKey<EntrySettings>>& SettingsKeys()
{
  using S = EntrySettings;
  static const std::vector<SettingsKey<S>> keys = {
    MakeKey("deployment", Presence::kOptional, &S::deployment),
    MakeKey("host", Presence::kRequired, &S::host),
    MakeKey("zone", Presence::kRequired, &S::zone),
    MakeKey("callers", Presence::kRequired, &S::callers),
    MakeKey("admin", Presence::kRequired, &S::admin),
    { "controld", Presence::kOptional, &AssignControld },
    MakeKey("workers", Presence::kOptional, &S::workers, Bound(1), Bound(64)),
    MakeLimitKey("max_body", &EntryLimits::maxBody),
    MakeLimitKey("max_answer", &EntryLimits::maxAnswer),
    MakeLimitKey("max_buffered", &EntryLimits::maxBuffered),
    MakeLimitKey("answer_reserve", &EntryLimits::answerReserve),
    MakeKey("drain_delay",
            Presence::kOptional,
            &S::drainDelay,
            Bound("0 ms"),
            Bound("10 min")),
    MakeKey("strategy", Presence::kOptional, &S::strategy),
    MakeKey("seed", Presence::kOptional, &S::seed),
    MakeKey("log_level", Presence::kOptional, &S::logLevel),
  };
  return keys;
}

const std::vector<SettingsKey<ServiceConfig>>& ServiceKeys()
{
  using S = ServiceConfig;
  static const std::vector<SettingsKey<S>> keys = {
    MakeKey("slots", Presence::kOptional, &S::slots, Bound(1), Bound(100000)),
    MakeKey("connections",
            Presence::kOptional,
            &S::connections,
            Bound(1),
            Bound(1000000)),
    { "idempotent", Presence::kOptional, &AssignIdempotent },
    MakeKey("deadline", Presence::kOptional, &S::deadline),
  };
  return keys;
}

const std::vector<SettingsKey<TargetConfig>>& TargetKeys()
{
  static const std::vector<SettingsKey<TargetConfig>> keys = {
    MakeKey("endpoint", Presence::kRequired, &TargetConfig::endpoint),
    MakeKey("zone", Presence::kRequired, &TargetConfig::zone),
  };
  return keys;
}

bool StartsWith(const std::string& aText, std::string_view aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

/** Moves the entries below aPrefix out of aDocument, without the prefix. */
SettingsDocument TakeBelow(SettingsDocument& aDocument,
                           std::string_view aPrefix)
{
  SettingsDocument below;
  below.file = aDocument.file + " [" + std::string(aPrefix) + "...]";
  for (auto entry = aDocument.values.begin();
       entry != aDocument.values.end();) {
    if (StartsWith(entry->first, aPrefix)) {
      below.values.emplace(entry->first.substr(aPrefix.size()),
                           std::move(entry->second));
      entry = aDocument.values.erase(entry);
    } else {
      ++entry;
    }
  }
  return below;
}

/** The name in front of the first dot of the first key. */
std::string FirstTable(const SettingsDocument& aDocument)
{
  const std::string& key = aDocument.values.begin()->first;
  return key.substr(0, key.find('.'));
}

/** Calls aRead(name, document) for each table of aDocument. */
template<class Reader>
Outcome<void> ForEachTable(SettingsDocument aDocument, Reader aRead)
{
  while (!aDocument.values.empty()) {
    const std::string name = FirstTable(aDocument);
    const SettingsDocument table = TakeBelow(aDocument, name + ".");
    if (table.values.empty()) {
      return Fail(ErrorKind::kInvalidSettings,
                  aDocument.file + ": \"" + name + "\" is no table",
                  "see examples/entryd.toml");
    }
    BOOST_OUTCOME_TRY(aRead(name, table));
  }
  return outcome::success();
}

Outcome<ServiceConfig> ReadService(const std::string& aName,
                                   SettingsDocument aTable)
{
  const SettingsDocument targets = TakeBelow(aTable, kTargetsPrefix);
  BOOST_OUTCOME_TRY(auto service, ReadSettings(aTable, ServiceKeys()));
  service.id = ServiceId(aName);
  BOOST_OUTCOME_TRY(ForEachTable(
    targets,
    [&service](const std::string& aTarget,
               const SettingsDocument& aEntries) -> Outcome<void> {
      BOOST_OUTCOME_TRY(auto target, ReadSettings(aEntries, TargetKeys()));
      target.id = TargetId(aTarget);
      service.targets.push_back(std::move(target));
      return outcome::success();
    }));
  return service;
}

Outcome<std::shared_ptr<const Configuration>> ReadFixed(
  const SettingsDocument& aServices)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion(1);
  BOOST_OUTCOME_TRY(ForEachTable(
    aServices,
    [&configuration](const std::string& aName,
                     const SettingsDocument& aTable) -> Outcome<void> {
      BOOST_OUTCOME_TRY(auto service, ReadService(aName, aTable));
      for (const TargetConfig& target : service.targets) {
        configuration->zones[target.zone].id = target.zone;
      }
      auto shared = std::make_shared<const ServiceConfig>(std::move(service));
      configuration->services.emplace(shared->id, shared);
      return outcome::success();
    }));
  return configuration;
}

Outcome<void> Check(const EntrySettings& aSettings, const std::string& aFile)
{
  if (!aSettings.controld == !aSettings.fixed) {
    return Fail(ErrorKind::kInvalidSettings,
                aFile + ": found both or none of controld and [static]",
                "write controld, or the services below [static]");
  }
  const EntryLimits& limits = aSettings.limits;
  if (limits.maxBuffered.value() / aSettings.workers <
      2 * limits.maxBody.value() + limits.maxAnswer.value()) {
    return Fail(ErrorKind::kInvalidSettings,
                aFile + ": max_buffered is too small for one request",
                "write at least workers times (2 max_body + max_answer)");
  }
  return outcome::success();
}

Outcome<EntrySettings> FromDocument(SettingsDocument aDocument)
{
  const std::string file = aDocument.file;
  const SettingsDocument services = TakeBelow(aDocument, kStaticPrefix);
  BOOST_OUTCOME_TRY(auto settings, ReadSettings(aDocument, SettingsKeys()));
  if (!services.values.empty()) {
    BOOST_OUTCOME_TRY(settings.fixed, ReadFixed(services));
  }
  BOOST_OUTCOME_TRY(Check(settings, file));
  return settings;
}

} // namespace

Outcome<EntrySettings> ParseEntrySettings(const std::string& aText)
{
  BOOST_OUTCOME_TRY(auto document, SettingsDocument::Parse(aText, "settings"));
  return FromDocument(std::move(document));
}

Outcome<EntrySettings> ReadEntrySettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(auto document, SettingsDocument::ReadFile(aPath));
  return FromDocument(std::move(document));
}

} // namespace lacewing
