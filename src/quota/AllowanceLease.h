#ifndef QUOTA_ALLOWANCELEASE_H
#define QUOTA_ALLOWANCELEASE_H

#include "quota/AllowanceToken.h"
#include "quota/RecentUse.h"
#include "quota/TokenCount.h"

#include <deque>
#include <optional>

namespace lacewing {

/**
 * A host's tokens of one customer. Each has its own end, so that a token that
 * is given back by a request is not used longer than the owner expects.
 */
class AllowanceLease
{
public:
  void Add(TokenCount aTokens, TimePoint aValidUntil);

  /** Takes the token that ends first; empty if none is valid at aNow. */
  std::optional<AllowanceToken> Take(TimePoint aNow);

  /** Adds a token whose request was proved not to have run. */
  void GiveBack(const AllowanceToken& aToken);

  /** Returns how many expired tokens have not been given back yet. */
  TokenCount TakeUnused(TimePoint aNow);

  /** Removes the expired tokens; they are to be given back to the owner. */
  void Expire(TimePoint aNow);

  /** When the first token ends; empty without tokens. */
  std::optional<TimePoint> NextExpiry() const;

  /** Tokens to ask for beyond the waiting requests, by recent use. */
  TokenCount SpareWanted(TimePoint aNow) const;

private:
  /** By end, the first to end at the front. */
  std::deque<AllowanceToken> tokens_;
  TokenCount unused_;
  RecentUse use_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCELEASE_H
