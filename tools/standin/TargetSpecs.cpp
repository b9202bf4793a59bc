#include "standin/TargetSpecs.h"

#include "core/JsonProperties.h"
#include "load/TomlFile.h"

#include <utility>

namespace lacewing {

namespace {

/** Takes a text member out of aJson; empty when there is none. */
std::string TakeText(nlohmann::json& aJson, const char* aName)
{
  std::string text;
  const auto found = aJson.find(aName);
  if (found != aJson.end() && found->is_string()) {
    text = found->get<std::string>();
    aJson.erase(found);
  }
  return text;
}

Outcome<TargetSpec> ReadSpec(nlohmann::json aJson,
                             const TargetProperties& aDefaults)
{
  TargetSpec spec;
  spec.id = TargetId(TakeText(aJson, "id"));
  BOOST_OUTCOME_TRY(spec.endpoint, Endpoint::Parse(TakeText(aJson, "listen")));
  if (spec.id.empty()) {
    spec.id = TargetId("target-" + std::to_string(spec.endpoint.port));
  }
  spec.properties = aDefaults;
  BOOST_OUTCOME_TRY(SetProperties(spec.properties, kTargetProperties, aJson));
  return spec;
}

} // namespace

Outcome<std::vector<TargetSpec>> ReadTargetsFile(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const nlohmann::json file, ReadTomlFile(aPath));
  TargetProperties defaults;
  if (const auto found = file.find("defaults"); found != file.end()) {
    BOOST_OUTCOME_TRY(SetProperties(defaults, kTargetProperties, *found));
  }
  std::vector<TargetSpec> specs;
  for (const nlohmann::json& target :
       file.value("target", nlohmann::json::array())) {
    BOOST_OUTCOME_TRY(TargetSpec spec, ReadSpec(target, defaults));
    specs.push_back(std::move(spec));
  }
  return specs;
}

Outcome<std::vector<TargetSpec>> MakeTargetSpecs(
  const std::vector<std::string>& aEndpoints,
  const std::vector<std::string>& aSettings)
{
  nlohmann::json settings = nlohmann::json::object();
  for (const std::string& setting : aSettings) {
    const std::size_t equals = setting.find('=');
    const std::string value =
      equals == std::string::npos ? "true" : setting.substr(equals + 1);
    nlohmann::json parsed = nlohmann::json::parse(value, nullptr, false);
    settings[setting.substr(0, equals)] =
      parsed.is_discarded() ? nlohmann::json(value) : std::move(parsed);
  }
  TargetProperties common;
  BOOST_OUTCOME_TRY(SetProperties(common, kTargetProperties, settings));
  std::vector<TargetSpec> specs;
  for (const std::string& endpoint : aEndpoints) {
    BOOST_OUTCOME_TRY(TargetSpec spec,
                      ReadSpec({ { "listen", endpoint } }, common));
    specs.push_back(std::move(spec));
  }
  return specs;
}

} // namespace lacewing
