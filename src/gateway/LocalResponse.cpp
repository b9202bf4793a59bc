#include "gateway/LocalResponse.h"

#include <array>
#include <cstdio>

namespace lacewing {

namespace {

struct OwnAnswerRow
{
  OwnAnswerKind kind;
  unsigned status;
  const char* text;
};

constexpr std::array<OwnAnswerRow, 7> kRows{ {
  { OwnAnswerKind::kMalformed, 400, "the request cannot be read\n" },
  { OwnAnswerKind::kBodyTooLarge, 413, "the body is too large\n" },
  { OwnAnswerKind::kHeadTooLarge, 431, "the head is too large\n" },
  { OwnAnswerKind::kNoRoute, 404, "no route leads there\n" },
  { OwnAnswerKind::kRefused, 503, "not run: no target has room\n" },
  { OwnAnswerKind::kOutcomeUnknown, 502, "the target did not answer\n" },
  { OwnAnswerKind::kTimedOut, 504, "the target took too long\n" },
} };

const OwnAnswerRow& RowOf(OwnAnswerKind aKind)
{
  for (const OwnAnswerRow& row : kRows) {
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

HttpMessage MakeOwnAnswer(OwnAnswerKind aKind,
                          const std::string& aIdField,
                          const std::string& aId,
                          std::optional<Duration> aRetryAfter)
{
  const OwnAnswerRow& row = RowOf(aKind);
  HttpMessage answer;
  answer.head.status = row.status;
  answer.body = row.text;
  answer.head.fields.Add("Content-Type", "text/plain");
  if (!aId.empty()) {
    answer.head.fields.Add(aIdField, aId);
  }
  if (aRetryAfter) {
    answer.head.fields.Add("Retry-After", SecondsText(*aRetryAfter));
  }
  return answer;
}

} // namespace lacewing
