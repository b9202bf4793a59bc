#include "config/RetiredCodec.h"

#include "config/ConfigKeys.h"
#include "config/MapReaderPriv.h"

namespace lacewing {

namespace {

constexpr const char* kKeysField = "keys";

} // namespace

std::string EncodeRetired(const std::vector<ObjectKey>& aKeys)
{
  nlohmann::json keys = nlohmann::json::array();
  for (const ObjectKey& key : aKeys) {
    keys.push_back(key.value());
  }
  return EncodeMap({ { kKeysField, std::move(keys) } });
}

Outcome<std::vector<ObjectKey>> DecodeRetired(std::string_view aBytes)
{
  const char* const subject = "a list of retired blobs";
  BOOST_OUTCOME_TRY(const auto map, DecodeMap(aBytes, subject));
  MapReader reader(map, subject);
  const std::string prefix = BlobPrefix();
  std::vector<ObjectKey> keys;
  constexpr std::size_t kOtherObjects = 2;
  for (const auto& element :
       reader.List(kKeysField, kMaxServices + kOtherObjects)) {
    if (!element.is_string() || element.get_ref<const std::string&>().compare(
                                  0, prefix.size(), prefix) != 0) {
      reader.Refuse(kKeysField, "holds a value that is not a blob's key");
      break;
    }
    keys.emplace_back(element.get<std::string>());
  }
  if (reader.Problem()) {
    return outcome::failure(*reader.Problem());
  }
  return keys;
}

} // namespace lacewing
