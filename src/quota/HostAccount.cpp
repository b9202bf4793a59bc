#include "quota/HostAccount.h"

#include <algorithm>

namespace lacewing {

void HostAccount::DropOld(TimePoint aNow)
{
  while (!grants_.empty() && grants_.front().at + kReturnTime <= aNow) {
    grants_.pop_front();
  }
}

void HostAccount::OnGranted(TokenCount aTokens, TimePoint aNow)
{
  DropOld(aNow);
  if (aTokens > TokenCount(0)) {
    grants_.push_back({ aNow, aTokens });
  }
}

TokenCount HostAccount::OnGivenBack(TokenCount aTokens, TimePoint aNow)
{
  DropOld(aNow);
  TokenCount accepted;
  while (accepted < aTokens && !grants_.empty()) {
    Grant& oldest = grants_.front();
    const TokenCount part = std::min(oldest.tokens, aTokens - accepted);
    accepted += part;
    oldest.tokens -= part;
    if (oldest.tokens == TokenCount(0)) {
      grants_.pop_front();
    }
  }
  return accepted;
}

bool HostAccount::Idle(TimePoint aNow)
{
  DropOld(aNow);
  return grants_.empty() && lastAt_ + kReturnTime <= aNow;
}

} // namespace lacewing
