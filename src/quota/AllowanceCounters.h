#ifndef QUOTA_ALLOWANCECOUNTERS_H
#define QUOTA_ALLOWANCECOUNTERS_H

#include <cstdint>

namespace lacewing {

/** Totals of the control thread's part of the exchange of tokens. */
struct AllowanceCounters
{
  /** Requests for tokens of this host, repeated messages included. */
  std::uint64_t sent = 0;
  /** Requests for tokens that this host decided as the owner. */
  std::uint64_t decided = 0;
  std::uint64_t leased = 0;
  std::uint64_t givenBack = 0;
  /** Tokens of the equal part that is used without an owner. */
  std::uint64_t fallback = 0;
  /** Requests for tokens that no owner decided in time. */
  std::uint64_t timeouts = 0;
  /** Received datagrams that could not be decoded. */
  std::uint64_t decodeErrors = 0;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCECOUNTERS_H
