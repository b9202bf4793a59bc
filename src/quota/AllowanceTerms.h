#ifndef QUOTA_ALLOWANCETERMS_H
#define QUOTA_ALLOWANCETERMS_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Times and sizes of the exchange of tokens. The window limit depends on them;
 * docs/design/rate-limits.md has the calculation.
 */
struct AllowanceTerms
{
  /**
   * How long a grant may be used, from the moment at which the host sent its
   * request. Tokens granted before a window and used in it add this much of
   * the rate to the window's sum.
   */
  static constexpr Duration kValidity = std::chrono::milliseconds(500);
  /**
   * How long a request waits for a token. A message takes 1.4 ms between zones
   * and may be lost twice.
   */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(60);
  /** After this time a message without a reply is sent again. */
  static constexpr Duration kRepeatAfter = std::chrono::milliseconds(20);
  /** When a caller that got no permission for lack of an owner may return. */
  static constexpr Duration kNoOwnerRetryAfter = std::chrono::milliseconds(500);
  /** Most tokens in one grant beyond those for waiting requests. */
  static constexpr unsigned kMaxGrant = 16;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCETERMS_H
