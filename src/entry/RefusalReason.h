#ifndef ENTRY_REFUSALREASON_H
#define ENTRY_REFUSALREASON_H

namespace lacewing {

/** Why a front end refuses a request before the engine sees it. */
enum class RefusalReason
{
  /** "bad-request" */
  kBadRequest,
  /** "body-too-large" */
  kBodyTooLarge,
  /** "fields-too-large" */
  kFieldsTooLarge,
  /** The memory for bodies and answers is taken: "overload". */
  kBuffersFull,
  /** No configuration yet: "not-ready". */
  kNotReady,
};

} // namespace lacewing

#endif // ENTRY_REFUSALREASON_H
