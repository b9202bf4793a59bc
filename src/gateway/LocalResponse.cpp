#include "gateway/LocalResponse.h"

#include <array>
#include <cstdio>

namespace lacewing {

namespace {

struct LocalResponseRow
{
  LocalResponseKind kind;
  unsigned status;
  const char* text;
};

constexpr std::array<LocalResponseRow, 9> kRows{ {
  { LocalResponseKind::kMalformed, 400, "the request cannot be read\n" },
  { LocalResponseKind::kBodyTooLarge, 413, "the body is too large\n" },
  { LocalResponseKind::kHeadTooLarge, 431, "the head is too large\n" },
  { LocalResponseKind::kNoRoute, 404, "no route leads there\n" },
  { LocalResponseKind::kUnknownKey, 401, "the route needs a valid key\n" },
  { LocalResponseKind::kOverLimit, 429, "the customer is over its limit\n" },
  { LocalResponseKind::kRefused, 503, "not run: no target has room\n" },
  { LocalResponseKind::kOutcomeUnknown, 502, "the target did not answer\n" },
  { LocalResponseKind::kTimedOut, 504, "the target took too long\n" },
} };

const LocalResponseRow& RowOf(LocalResponseKind aKind)
{
  for (const LocalResponseRow& row : kRows) {
    if (row.kind == aKind) {
      return row;
    }
  }
  return kRows.front();
}

std::string SecondsText(Duration aDuration)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                std::chrono::duration<double>(aDuration).count());
  return text.data();
}

} // namespace

HttpMessage MakeLocalResponse(LocalResponseKind aKind,
                              const std::string& aIdField,
                              const std::string& aId,
                              std::optional<Duration> aRetryAfter)
{
  const LocalResponseRow& row = RowOf(aKind);
  HttpMessage response;
  response.head.status = row.status;
  response.body = row.text;
  response.head.fields.Add("Content-Type", "text/plain");
  if (aKind == LocalResponseKind::kUnknownKey) {
    // RFC 9110 requires a challenge with each 401.
    response.head.fields.Add("WWW-Authenticate", "Bearer");
  }
  if (!aId.empty()) {
    response.head.fields.Add(aIdField, aId);
  }
  if (aRetryAfter) {
    response.head.fields.Add("Retry-After", SecondsText(*aRetryAfter));
  }
  return response;
}

} // namespace lacewing
