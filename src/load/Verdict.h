#ifndef LOAD_VERDICT_H
#define LOAD_VERDICT_H

namespace lacewing {

/** What became of a request of the load tool. */
enum class Verdict
{
  /** Answered, with the whole expected body. */
  kWhole,
  /** Answered with another body. */
  kMismatched,
  /** Answered with a body that is too short. */
  kShort,
  kNotRun,
  /** The request may have run. */
  kUnknown,
  /** No connection, an error of the target, or a malformed answer. */
  kError,
};

/** The verdict as it appears in records. */
const char* ToString(Verdict aVerdict);

} // namespace lacewing

#endif // LOAD_VERDICT_H
