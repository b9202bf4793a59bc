#ifndef DECISION_FINISHREASON_H
#define DECISION_FINISHREASON_H

namespace lacewing {

/** Why a request ended; decides the status and Lacewing-Reason header. */
enum class FinishReason
{
  /** A target's whole answer goes to the caller: "answered". */
  kAnswered,
  /** "unknown-service" */
  kUnknownService,
  /** No target takes new work: "no-target". */
  kNoTarget,
  /** Waiting places are taken: "overload". */
  kOverload,
  /** The deadline passed, or cannot be met, before sending: "deadline". */
  kDeadlineBeforeSend,
  /** Every allowed attempt was proved not run: "not-accepted". */
  kNotAccepted,
  /** The host is stopping: "stopping". */
  kStopping,
  /** Sent, no whole answer: "connection-lost". */
  kConnectionLost,
  /** Sent, deadline passed: "timeout". */
  kTimeout,
  /** The answer exceeds the limit: "answer-too-large". */
  kAnswerTooLarge,
};

/** The fixed word of the Lacewing-Reason header. */
const char* ToString(FinishReason aReason);

} // namespace lacewing

#endif // DECISION_FINISHREASON_H
