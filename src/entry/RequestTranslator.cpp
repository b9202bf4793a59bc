#include "entry/RequestTranslator.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewing {

namespace {

constexpr const char* kDeadlineField = "Lacewing-Deadline-Ms";
constexpr const char* kRequestIdField = "Lacewing-Request-Id";

// Sum of names and values; below the server's own limits of 64 fields of
// 8 KiB, so that a caller gets an answer instead of a closed connection.
constexpr std::size_t kMaxFieldBytes = 32U << 10U;
constexpr std::size_t kMaxServiceLength = 128;

/** The request line may hold only visible ASCII and no fragment. */
bool IsPlainTarget(const std::string& aTarget)
{
  return !aTarget.empty() && aTarget.front() == '/' &&
         std::all_of(aTarget.begin(), aTarget.end(), [](char aChar) {
           return aChar > ' ' && aChar < 0x7f && aChar != '#';
         });
}

std::optional<std::chrono::milliseconds> ParseMilliseconds(
  const std::string& aText)
{
  // A caller's clock or arithmetic fault may give absurd values.
  constexpr std::uint32_t kLongest = 24U * 3600U * 1000U;
  std::uint32_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || end != last || value > kLongest) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

/** The server does not read the body of a request to upgrade. */
bool UpgradesWithBody(const HttpFields& aFields)
{
  const std::string* length = aFields.Find("Content-Length");
  return aFields.Find("Upgrade") != nullptr &&
         (aFields.Find("Transfer-Encoding") != nullptr ||
          (length != nullptr && *length != "0"));
}

std::size_t FieldBytes(const HttpFields& aFields)
{
  std::size_t bytes = 0;
  for (const HttpField& field : aFields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

} // namespace

std::variant<TranslatedRequest, RefusalReason> RequestTranslator::Translate(
  const HttpRequest& aRequest) const
{
  if (FieldBytes(aRequest.fields) > kMaxFieldBytes) {
    return RefusalReason::kFieldsTooLarge;
  }
  if (aRequest.body.size() > limits_.maxBody.value()) {
    return RefusalReason::kBodyTooLarge;
  }
  // A HEAD with a body would leave the target's connection out of step.
  if (!IsPlainTarget(aRequest.target) || aRequest.method == "CONNECT" ||
      (aRequest.method == "HEAD" && !aRequest.body.empty()) ||
      UpgradesWithBody(aRequest.fields)) {
    return RefusalReason::kBadRequest;
  }
  TranslatedRequest translated;
  if (const std::string* text = aRequest.fields.Find(kDeadlineField)) {
    const auto deadline = ParseMilliseconds(*text);
    if (!deadline) {
      return RefusalReason::kBadRequest;
    }
    translated.deadline = *deadline;
  }
  const std::string& path = aRequest.target;
  const std::size_t end = std::min(path.find_first_of("/?", 1), path.size());
  if (end == 1 || end > kMaxServiceLength) {
    return RefusalReason::kBadRequest;
  }
  translated.service = ServiceId(path.substr(1, end - 1));
  translated.target = path.substr(end);
  if (translated.target.empty() || translated.target.front() != '/') {
    translated.target.insert(translated.target.begin(), '/');
  }
  return translated;
}

HttpField RequestTranslator::IdField(std::string aRequestId)
{
  return { kRequestIdField, std::move(aRequestId) };
}

HttpFields RequestTranslator::FieldsForTarget(HttpFields aFields,
                                              const HttpField& aId,
                                              Duration aRemaining)
{
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRemaining);
  aFields.Set(kDeadlineField,
              std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  aFields.Set(aId.name, aId.value);
  return aFields;
}

} // namespace lacewing
