#ifndef DECISION_DISPOSITION_H
#define DECISION_DISPOSITION_H

namespace lacewing {

/** What a caller is told about the execution of its request. */
enum class Disposition
{
  /** "ran": a target's whole answer. */
  kRan,
  /** "not-run": proved that no target ran it. */
  kNotRun,
  /** "unknown": sent, no whole answer. */
  kUnknown,
};

/** The value of the Lacewing-Outcome header. */
const char* ToString(Disposition aDisposition);

} // namespace lacewing

#endif // DECISION_DISPOSITION_H
