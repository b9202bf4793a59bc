#include "store/StoreAnswersPriv.h"

#include <nlohmann/json.hpp>

#include <array>

namespace lacewing {

namespace {

using nlohmann::json;

struct StatusError
{
  int status;
  ErrorKind kind;
  const char* what;
  const char* remedy;
};

constexpr std::array<StatusError, 4> kStatusErrors{ {
  { 404, ErrorKind::kNotFound, "the object does not exist", "check its key" },
  { 412,
    ErrorKind::kConflict,
    "another writer changed the object",
    "read it and decide again" },
  { 413,
    ErrorKind::kTooLarge,
    "the store refuses the object's size",
    "write objects of at most 1 MB" },
  { 429,
    ErrorKind::kRateLimited,
    "the store's rate limit is reached",
    "call it less often" },
} };

Error InvalidAnswer(const std::string& aWhat)
{
  return { ErrorKind::kInvalidMessage,
           "the platform's answer " + aWhat,
           "check that the platform endpoint is the platform's store" };
}

/** A text member of a JSON object; null when it is missing. */
const std::string* TextMember(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? &found->get_ref<const std::string&>()
           : nullptr;
}

/** Reads each object of a JSON array of objects. */
template<class T, class Reader>
Outcome<std::vector<T>> ReadArray(const std::string& aBody, Reader aReader)
{
  const json list = json::parse(aBody, nullptr, false);
  if (!list.is_array()) {
    return outcome::failure(InvalidAnswer("is no JSON list"));
  }
  std::vector<T> result;
  result.reserve(list.size());
  for (const json& entry : list) {
    T value;
    if (!entry.is_object() || !aReader(entry, value)) {
      return outcome::failure(InvalidAnswer("has an incomplete entry"));
    }
    result.push_back(std::move(value));
  }
  return result;
}

} // namespace

Outcome<HttpResponse> CheckAnswer(HttpCallResult aResult, bool aWrite)
{
  const char* remedy = "wait until the platform's store is back";
  switch (aResult.end) {
    case HttpCallEnd::kNotSent:
      return Fail(ErrorKind::kUnavailable,
                  "the store cannot be reached: " + aResult.error,
                  remedy);
    case HttpCallEnd::kLost:
      return Fail(aWrite ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                  "the store's answer was lost: " + aResult.error,
                  remedy);
    case HttpCallEnd::kTimedOut:
      return Fail(
        ErrorKind::kTimeout, "the store did not answer in time", remedy);
    case HttpCallEnd::kTooLarge:
      return Fail(ErrorKind::kTooLarge,
                  "the store's answer is too large",
                  "keep objects below 1 MB");
    case HttpCallEnd::kAnswered:
      break;
  }
  const int status = aResult.response.status;
  if ((status >= 200 && status < 300) || status == 304) {
    return std::move(aResult.response);
  }
  for (const StatusError& error : kStatusErrors) {
    if (error.status == status) {
      return Fail(error.kind, error.what, error.remedy);
    }
  }
  // A failing server may have applied the write before it failed.
  if (status >= 500) {
    return Fail(aWrite ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                "the store answered " + std::to_string(status),
                remedy);
  }
  return Fail(ErrorKind::kInvalidArgument,
              "the store answered " + std::to_string(status),
              "check that the platform endpoint is the platform's store");
}

Outcome<ObjectTag> ReadTag(const HttpResponse& aResponse)
{
  const std::string* tag = aResponse.fields.Find("ETag");
  if (tag == nullptr || tag->empty()) {
    return outcome::failure(InvalidAnswer("has no ETag"));
  }
  return ObjectTag(*tag);
}

Outcome<ObjectValue> ReadObject(HttpResponse aResponse)
{
  BOOST_OUTCOME_TRY(auto tag, ReadTag(aResponse));
  return ObjectValue{ std::move(aResponse.body), std::move(tag) };
}

Outcome<std::vector<std::pair<ObjectKey, ObjectTag>>> ReadList(
  const HttpResponse& aResponse)
{
  using Entry = std::pair<ObjectKey, ObjectTag>;
  return ReadArray<Entry>(aResponse.body,
                          [](const json& aEntry, Entry& aValue) {
                            const std::string* key = TextMember(aEntry, "key");
                            const std::string* tag = TextMember(aEntry, "etag");
                            if (key == nullptr || tag == nullptr) {
                              return false;
                            }
                            aValue = { ObjectKey(*key), ObjectTag(*tag) };
                            return true;
                          });
}

Outcome<std::vector<ListedHost>> ReadHosts(const HttpResponse& aResponse)
{
  return ReadArray<ListedHost>(
    aResponse.body, [](const json& aEntry, ListedHost& aHost) {
      const std::string* id = TextMember(aEntry, "id");
      const std::string* address = TextMember(aEntry, "address");
      const std::string* zone = TextMember(aEntry, "zone");
      const std::string* state = TextMember(aEntry, "state");
      if (id == nullptr || address == nullptr || zone == nullptr ||
          state == nullptr) {
        return false;
      }
      aHost = { HostId(*id), *address, ZoneId(*zone), *state == "leaving" };
      return true;
    });
}

} // namespace lacewing
