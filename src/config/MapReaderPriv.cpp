#include "config/MapReaderPriv.h"

#include "config/IdText.h"
#include "core/CborBounds.h"

namespace lacewing {

namespace {

constexpr const char* kFormatField = "format";
constexpr std::uint64_t kFormat = 1;

constexpr const char* kRemedy =
  "write the configuration again with lacewingctl apply";

CborBounds ObjectBounds()
{
  CborBounds bounds;
  bounds.maxBytes = kMaxObjectBytes;
  return bounds;
}

} // namespace

Outcome<nlohmann::json> DecodeMap(std::string_view aBytes,
                                  const std::string& aSubject)
{
  const auto bounded = CheckCborBounds(aBytes, ObjectBounds());
  if (!bounded) {
    return Fail(
      bounded.error().kind, aSubject + ": " + bounded.error().what, kRemedy);
  }
  nlohmann::json map;
  try {
    map = nlohmann::json::from_cbor(aBytes.begin(), aBytes.end());
  } catch (const nlohmann::json::exception& exception) {
    return Fail(
      ErrorKind::kInvalidMessage, aSubject + ": " + exception.what(), kRemedy);
  }
  if (!map.is_object()) {
    return Fail(
      ErrorKind::kInvalidMessage, aSubject + " is not a CBOR map", kRemedy);
  }
  MapReader reader(map, aSubject);
  reader.Number(kFormatField, kFormat, kFormat);
  if (reader.Problem()) {
    return Fail(ErrorKind::kInvalidMessage,
                reader.Problem()->what,
                "use a release that reads this format");
  }
  return map;
}

std::string EncodeMap(nlohmann::json aMap)
{
  aMap[kFormatField] = kFormat;
  std::string bytes;
  nlohmann::json::to_cbor(aMap, bytes);
  return bytes;
}

MapReader::MapReader(const nlohmann::json& aMap, std::string aSubject)
  : map_(aMap)
  , subject_(std::move(aSubject))
{
  if (!aMap.is_object()) {
    Refuse(
      Error{ ErrorKind::kInvalidMessage, subject_ + " is not a map", kRemedy });
  }
}

const nlohmann::json* MapReader::Find(const char* aField)
{
  if (!map_.is_object()) {
    return nullptr;
  }
  const auto found = map_.find(aField);
  if (found == map_.end()) {
    Refuse(aField, "is missing");
    return nullptr;
  }
  return &*found;
}

std::uint64_t MapReader::Number(const char* aField,
                                std::uint64_t aMin,
                                std::uint64_t aMax)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return aMin;
  }
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() < aMin ||
      value->get<std::uint64_t>() > aMax) {
    Refuse(aField,
           "is not a number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
    return aMin;
  }
  return value->get<std::uint64_t>();
}

std::string MapReader::Text(const char* aField)
{
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Refuse(aField, "is not a text");
    return {};
  }
  return value->get<std::string>();
}

std::string MapReader::Id(const char* aField)
{
  std::string text = Text(aField);
  if (!IsIdText(text)) {
    Refuse(aField, std::string("is not an id (") + kIdRule + ")");
    return {};
  }
  return text;
}

const nlohmann::json& MapReader::List(const char* aField, std::size_t aMax)
{
  static const nlohmann::json none = nlohmann::json::array();
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return none;
  }
  if (!value->is_array() || value->size() > aMax) {
    Refuse(aField,
           "is not a list of at most " + std::to_string(aMax) + " elements");
    return none;
  }
  return *value;
}

const nlohmann::json& MapReader::Map(const char* aField, std::size_t aMax)
{
  static const nlohmann::json none = nlohmann::json::object();
  const nlohmann::json* value = Find(aField);
  if (value == nullptr) {
    return none;
  }
  if (!value->is_object() || value->size() > aMax) {
    Refuse(aField,
           "is not a map of at most " + std::to_string(aMax) + " entries");
    return none;
  }
  return *value;
}

void MapReader::Refuse(const std::string& aField, const std::string& aProblem)
{
  Refuse(Error{ ErrorKind::kInvalidMessage,
                subject_ + ": field " + aField + " " + aProblem,
                kRemedy });
}

void MapReader::Refuse(const Error& aError)
{
  if (!error_) {
    error_ = aError;
  }
}

} // namespace lacewing
