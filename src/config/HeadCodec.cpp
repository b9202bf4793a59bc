#include "config/HeadCodec.h"

#include "config/ConfigKeys.h"
#include "config/IdText.h"
#include "config/MapReaderPriv.h"

namespace lacewing {

namespace {

constexpr std::uint64_t kMaxVersion = std::uint64_t{ 1 } << 62U;

} // namespace

Outcome<std::string> EncodeHead(const ConfigHead& aHead)
{
  nlohmann::json recent = nlohmann::json::array();
  for (const RecentWrite& write : aHead.recent) {
    recent.push_back({ { "token", write.token.value() },
                       { "version", write.version.value() } });
  }
  nlohmann::json entries = nlohmann::json::object();
  for (const auto& [name, entry] : aHead.entries) {
    entries[name.value()] = entry.hash.value();
  }
  std::string bytes = EncodeMap({ { "version", aHead.version.value() },
                                  { "token", aHead.token.value() },
                                  { "recent", std::move(recent) },
                                  { "entries", std::move(entries) } });
  if (bytes.size() > kMaxObjectBytes.value()) {
    return Fail(ErrorKind::kTooLarge,
                "the head would take " + std::to_string(bytes.size()) +
                  " bytes",
                "use fewer services or shorter names");
  }
  return bytes;
}

Outcome<ConfigHead> DecodeHead(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(const auto map, DecodeMap(aBytes, "the head"));
  MapReader reader(map, "the head");
  ConfigHead head;
  head.version = ConfigVersion(reader.Number("version", 1, kMaxVersion));
  head.token = WriteToken(reader.Id("token"));
  for (const auto& element : reader.List("recent", kMaxRecentWrites)) {
    MapReader write(element, "the head's recent writes");
    head.recent.push_back(
      { WriteToken(write.Id("token")),
        ConfigVersion(write.Number("version", 1, kMaxVersion)) });
    if (write.Problem()) {
      return outcome::failure(*write.Problem());
    }
  }
  constexpr std::size_t kOtherObjects = 2;
  const auto& entries = reader.Map("entries", kMaxServices + kOtherObjects);
  for (const auto& [key, value] : entries.items()) {
    const ObjectName name(key);
    if (name != ZonesObject() && name != HostsObject() &&
        !ServiceOfObject(name)) {
      reader.Refuse("entries", "names an unknown object");
      break;
    }
    if (!value.is_string() ||
        !IsBlobHashText(value.get_ref<const std::string&>())) {
      reader.Refuse("entries", "holds a value that is not a content hash");
      break;
    }
    const BlobHash hash(value.get<std::string>());
    head.entries[name] = { hash, BlobKey(name, hash) };
  }
  if (reader.Problem()) {
    return outcome::failure(*reader.Problem());
  }
  return head;
}

} // namespace lacewing
