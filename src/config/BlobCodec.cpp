#include "config/BlobCodec.h"

#include "config/MapReaderPriv.h"
#include "config/ServiceField.h"

namespace lacewing {

namespace {

constexpr const char* kIdField = "id";
constexpr const char* kZoneField = "zone";
constexpr const char* kStateField = "state";
constexpr const char* kAddressField = "address";
constexpr const char* kTargetsField = "targets";
constexpr const char* kZonesField = "zones";
constexpr const char* kHostsField = "hosts";

Outcome<std::string> Bounded(std::string aBytes, const std::string& aSubject)
{
  if (aBytes.size() > kMaxObjectBytes.value()) {
    return Fail(ErrorKind::kTooLarge,
                aSubject + " would take " + std::to_string(aBytes.size()) +
                  " bytes, more than " +
                  std::to_string(kMaxObjectBytes.value()),
                "split it or use shorter names");
  }
  return aBytes;
}

/** Writes one setting of a service into its map. */
struct EncodeField
{
  nlohmann::json& map;
  const ServiceField& field;
  const ServiceConfig& service;

  template<class Tag, class Rep>
  void operator()(StrongNumber<Tag, Rep> ServiceConfig::*aMember) const
  {
    map[field.name] = std::uint64_t{ (service.*aMember).value() };
  }
  void operator()(std::chrono::milliseconds ServiceConfig::*aMember) const
  {
    map[field.name] = static_cast<std::uint64_t>((service.*aMember).count());
  }
  void operator()(std::set<std::string> ServiceConfig::*aMember) const
  {
    map[field.name] = service.*aMember;
  }
};

/** Reads one setting of a service from its map. */
struct DecodeField
{
  MapReader& reader;
  const ServiceField& field;
  ServiceConfig& service;

  template<class Tag, class Rep>
  void operator()(StrongNumber<Tag, Rep> ServiceConfig::*aMember) const
  {
    service.*aMember = StrongNumber<Tag, Rep>(
      static_cast<Rep>(reader.Number(field.name, field.min, field.max)));
  }
  void operator()(std::chrono::milliseconds ServiceConfig::*aMember) const
  {
    service.*aMember = std::chrono::milliseconds(
      reader.Number(field.name, field.min, field.max));
  }
  void operator()(std::set<std::string> ServiceConfig::*aMember) const
  {
    (service.*aMember).clear();
    for (const auto& element : reader.List(field.name, field.max)) {
      if (!element.is_string() ||
          !IsMethodText(element.get_ref<const std::string&>())) {
        reader.Refuse(field.name, "holds a value that is not a method");
        return;
      }
      (service.*aMember).insert(element.get<std::string>());
    }
  }
};

Lifecycle ReadLifecycle(MapReader& aReader)
{
  const auto lifecycle = ParseLifecycle(aReader.Text(kStateField));
  if (!lifecycle) {
    aReader.Refuse(kStateField, "is not a state");
    return Lifecycle::kOut;
  }
  return lifecycle.value();
}

Endpoint ReadEndpoint(MapReader& aReader)
{
  const auto endpoint = Endpoint::Parse(aReader.Text(kAddressField));
  if (!endpoint) {
    aReader.Refuse(kAddressField, "is not an address and a port");
    return {};
  }
  return endpoint.value();
}

TargetConfig ReadTarget(MapReader& aReader)
{
  TargetConfig target;
  target.id = TargetId(aReader.Id(kIdField));
  target.endpoint = ReadEndpoint(aReader);
  target.zone = ZoneId(aReader.Id(kZoneField));
  target.lifecycle = ReadLifecycle(aReader);
  return target;
}

ZoneConfig ReadZone(MapReader& aReader)
{
  ZoneConfig zone;
  zone.id = ZoneId(aReader.Id(kIdField));
  zone.lifecycle = ReadLifecycle(aReader);
  return zone;
}

HostConfig ReadHost(MapReader& aReader)
{
  HostConfig host;
  host.id = HostId(aReader.Id(kIdField));
  host.zone = ZoneId(aReader.Id(kZoneField));
  host.lifecycle = ReadLifecycle(aReader);
  return host;
}

/** Reads a list of maps whose ids must be in strictly ascending order. */
template<class T>
Outcome<std::vector<T>> ReadList(MapReader& aReader,
                                 const char* aField,
                                 std::size_t aMax,
                                 T (*aRead)(MapReader&))
{
  std::vector<T> result;
  for (const auto& element : aReader.List(aField, aMax)) {
    MapReader reader(element,
                     std::string("entry ") + std::to_string(result.size() + 1) +
                       " of " + aField);
    T value = aRead(reader);
    if (!result.empty() && !(result.back().id < value.id)) {
      reader.Refuse(kIdField, "is out of order or occurs twice");
    }
    if (reader.Problem()) {
      return outcome::failure(*reader.Problem());
    }
    result.push_back(std::move(value));
  }
  if (aReader.Problem()) {
    return outcome::failure(*aReader.Problem());
  }
  return result;
}

/** Decodes a blob that holds one list, as a map by id. */
template<class Id, class T>
Outcome<std::map<Id, T>> DecodeListBlob(std::string_view aBytes,
                                        const char* aField,
                                        std::size_t aMax,
                                        T (*aRead)(MapReader&))
{
  const std::string subject = std::string("the object ") + aField;
  BOOST_OUTCOME_TRY(const auto map, DecodeMap(aBytes, subject));
  MapReader reader(map, subject);
  BOOST_OUTCOME_TRY(auto list, ReadList<T>(reader, aField, aMax, aRead));
  std::map<Id, T> result;
  for (T& value : list) {
    Id id = value.id;
    result.emplace_hint(result.end(), std::move(id), std::move(value));
  }
  return result;
}

} // namespace

Outcome<std::string> EncodeService(const ServiceConfig& aService)
{
  nlohmann::json map = { { kIdField, aService.id.value() } };
  for (const ServiceField& field : ServiceFields()) {
    std::visit(EncodeField{ map, field, aService }, field.member);
  }
  nlohmann::json targets = nlohmann::json::array();
  for (const TargetConfig& target : aService.targets) {
    targets.push_back({ { kIdField, target.id.value() },
                        { kAddressField, target.endpoint.ToString() },
                        { kZoneField, target.zone.value() },
                        { kStateField, ToString(target.lifecycle) } });
  }
  map[kTargetsField] = std::move(targets);
  return Bounded(EncodeMap(std::move(map)), "service " + aService.id.value());
}

Outcome<ServiceConfig> DecodeService(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(const auto map, DecodeMap(aBytes, "a service object"));
  MapReader reader(map, "a service object");
  ServiceConfig service;
  service.id = ServiceId(reader.Id(kIdField));
  for (const ServiceField& field : ServiceFields()) {
    std::visit(DecodeField{ reader, field, service }, field.member);
  }
  BOOST_OUTCOME_TRY(
    service.targets,
    ReadList<TargetConfig>(
      reader, kTargetsField, kMaxTargetsOfService, &ReadTarget));
  return service;
}

Outcome<std::string> EncodeZones(const std::map<ZoneId, ZoneConfig>& aZones)
{
  nlohmann::json zones = nlohmann::json::array();
  for (const auto& [id, zone] : aZones) {
    zones.push_back(
      { { kIdField, id.value() }, { kStateField, ToString(zone.lifecycle) } });
  }
  return Bounded(EncodeMap({ { kZonesField, std::move(zones) } }),
                 "the list of zones");
}

Outcome<std::map<ZoneId, ZoneConfig>> DecodeZones(std::string_view aBytes)
{
  return DecodeListBlob<ZoneId, ZoneConfig>(
    aBytes, kZonesField, kMaxZones, &ReadZone);
}

Outcome<std::string> EncodeHosts(const std::map<HostId, HostConfig>& aHosts)
{
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [id, host] : aHosts) {
    hosts.push_back({ { kIdField, id.value() },
                      { kZoneField, host.zone.value() },
                      { kStateField, ToString(host.lifecycle) } });
  }
  return Bounded(EncodeMap({ { kHostsField, std::move(hosts) } }),
                 "the list of hosts");
}

Outcome<std::map<HostId, HostConfig>> DecodeHosts(std::string_view aBytes)
{
  return DecodeListBlob<HostId, HostConfig>(
    aBytes, kHostsField, kMaxHosts, &ReadHost);
}

} // namespace lacewing
