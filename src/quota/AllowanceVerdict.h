#ifndef QUOTA_ALLOWANCEVERDICT_H
#define QUOTA_ALLOWANCEVERDICT_H

namespace lacewing {

/** Whether a customer's request may be sent. */
enum class AllowanceVerdict
{
  kGranted,
  /** The customer is over its limit. */
  kOverLimit,
  /** No owner was heard, so it is not known whether the limit is reached. */
  kNoOwner,
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEVERDICT_H
