#ifndef CONFIG_MAPREADERPRIV_H
#define CONFIG_MAPREADERPRIV_H

#include "config/ConfigLimits.h"
#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/** Decodes a bounded CBOR map of the format that this release reads. */
Outcome<nlohmann::json> DecodeMap(std::string_view aBytes,
                                  const std::string& aSubject);

/** Encodes a map with its format number; equal maps give equal bytes. */
std::string EncodeMap(nlohmann::json aMap);

/**
 * Reads checked fields of a decoded map and keeps the first error; unknown
 * fields are ignored, so that a newer release may add some.
 */
class MapReader
{
public:
  /** aMap must outlive the reader; aSubject names it in errors. */
  MapReader(const nlohmann::json& aMap, std::string aSubject);

  std::uint64_t Number(const char* aField,
                       std::uint64_t aMin,
                       std::uint64_t aMax);
  std::string Text(const char* aField);
  /** A text that IsIdText accepts. */
  std::string Id(const char* aField);
  /** An array of at most aMax elements, empty after an error. */
  const nlohmann::json& List(const char* aField, std::size_t aMax);
  /** A map, empty after an error. */
  const nlohmann::json& Map(const char* aField, std::size_t aMax);

  void Refuse(const std::string& aField, const std::string& aProblem);
  void Refuse(const Error& aError);

  /** The first error, if any. */
  const std::optional<Error>& Problem() const { return error_; }

private:
  const nlohmann::json* Find(const char* aField);

  const nlohmann::json& map_;
  std::string subject_;
  std::optional<Error> error_;
};

} // namespace lacewing

#endif // CONFIG_MAPREADERPRIV_H
