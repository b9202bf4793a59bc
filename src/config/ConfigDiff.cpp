#include "config/ConfigDiff.h"

#include "config/SettingText.h"

#include <map>
#include <string>
#include <utility>

namespace lacewing {

namespace {

/** The fields of an object with their values, in the order of the sheet. */
using FieldValues = std::vector<std::pair<std::string, std::string>>;
using ObjectValues = std::map<std::string, FieldValues>;

ObjectValues ZoneValues(const Configuration& aConfiguration)
{
  ObjectValues values;
  for (const auto& [id, zone] : aConfiguration.zones) {
    values[id.value()] = { { "state", ToString(zone.lifecycle) } };
  }
  return values;
}

ObjectValues HostValues(const Configuration& aConfiguration)
{
  ObjectValues values;
  for (const auto& [id, host] : aConfiguration.hosts) {
    values[id.value()] = { { "zone", host.zone.value() },
                           { "state", ToString(host.lifecycle) } };
  }
  return values;
}

ObjectValues ServiceValues(const Configuration& aConfiguration)
{
  ObjectValues values;
  for (const auto& [id, service] : aConfiguration.services) {
    FieldValues& fields = values[id.value()];
    for (const ServiceField& field : ServiceFields()) {
      fields.emplace_back(field.heading, FormatSetting(field, *service));
    }
  }
  return values;
}

ObjectValues TargetValues(const Configuration& aConfiguration)
{
  ObjectValues values;
  for (const auto& [id, service] : aConfiguration.services) {
    for (const TargetConfig& target : service->targets) {
      values[target.id.value()] = { { "service", id.value() },
                                    { "zone", target.zone.value() },
                                    { "address", target.endpoint.ToString() },
                                    { "state", ToString(target.lifecycle) } };
    }
  }
  return values;
}

struct Part
{
  ObjectKind kind;
  ObjectValues (*values)(const Configuration&);
};

constexpr Part kParts[] = {
  { ObjectKind::kZone, &ZoneValues },
  { ObjectKind::kHost, &HostValues },
  { ObjectKind::kService, &ServiceValues },
  { ObjectKind::kTarget, &TargetValues },
};

ConfigChange MakeChange(ChangeKind aKind,
                        ObjectKind aObject,
                        const std::string& aId,
                        const FieldValues& aBefore,
                        const FieldValues& aAfter)
{
  ConfigChange change{ aKind, aObject, aId, {} };
  const FieldValues& names = aBefore.empty() ? aAfter : aBefore;
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::string before = aBefore.empty() ? "" : aBefore[i].second;
    const std::string after = aAfter.empty() ? "" : aAfter[i].second;
    if (before != after) {
      change.fields.push_back({ names[i].first, before, after });
    }
  }
  return change;
}

void AddChanges(std::vector<ConfigChange>& aChanges,
                ObjectKind aObject,
                const ObjectValues& aBefore,
                const ObjectValues& aAfter)
{
  auto before = aBefore.begin();
  auto after = aAfter.begin();
  while (before != aBefore.end() || after != aAfter.end()) {
    if (after == aAfter.end() ||
        (before != aBefore.end() && before->first < after->first)) {
      aChanges.push_back(MakeChange(
        ChangeKind::kRemoved, aObject, before->first, before->second, {}));
      ++before;
    } else if (before == aBefore.end() || after->first < before->first) {
      aChanges.push_back(MakeChange(
        ChangeKind::kAdded, aObject, after->first, {}, after->second));
      ++after;
    } else {
      if (before->second != after->second) {
        aChanges.push_back(MakeChange(ChangeKind::kChanged,
                                      aObject,
                                      before->first,
                                      before->second,
                                      after->second));
      }
      ++before;
      ++after;
    }
  }
}

} // namespace

std::vector<ConfigChange> DiffConfigurations(const Configuration& aBefore,
                                             const Configuration& aAfter)
{
  std::vector<ConfigChange> changes;
  for (const Part& part : kParts) {
    AddChanges(changes, part.kind, part.values(aBefore), part.values(aAfter));
  }
  return changes;
}

} // namespace lacewing
