#ifndef QUOTA_HOSTACCOUNT_H
#define QUOTA_HOSTACCOUNT_H

#include "lacewing/Clock.h"
#include "quota/AllowanceGrant.h"
#include "quota/TokenCount.h"

#include <deque>

namespace lacewing {

/** What the owner knows of one host's grants of one customer. */
class HostAccount
{
public:
  /** How long after a grant its tokens may be given back. */
  static constexpr Duration kReturnTime = std::chrono::seconds(2);

  /** Sequence of the last request, and the reply to it. */
  const AllowanceGrant& LastReply() const { return reply_; }
  void SetReply(AllowanceGrant aReply) { reply_ = std::move(aReply); }

  void OnGranted(TokenCount aTokens, TimePoint aNow);

  /** Removes given back tokens; returns how many were granted recently. */
  TokenCount OnGivenBack(TokenCount aTokens, TimePoint aNow);

  /** Whether nothing was granted for so long that the account is not needed. */
  bool Idle(TimePoint aNow);

  void Touch(TimePoint aNow) { lastAt_ = aNow; }

private:
  struct Grant
  {
    TimePoint at;
    TokenCount tokens;
  };

  void DropOld(TimePoint aNow);

  AllowanceGrant reply_;
  std::deque<Grant> grants_;
  TimePoint lastAt_;
};

} // namespace lacewing

#endif // QUOTA_HOSTACCOUNT_H
