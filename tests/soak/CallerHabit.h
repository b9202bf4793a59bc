#ifndef TESTS_SOAK_CALLERHABIT_H
#define TESTS_SOAK_CALLERHABIT_H

namespace lacewing {

/** How one kind of caller uses its connections. */
struct CallerHabit
{
  /** Pauses up to four fifths of the idle limit, the users' bound. */
  bool pausesLong;
  /** Uses a connection until the host closes it, never another before. */
  bool keepsConnection;
  /** Also connects to hosts that are out of rotation, such as stopping ones. */
  bool ignoresRotation;
  /**
   * Ends its sending side after each request that runs at most once, and still
   * waits for the response.
   */
  bool endsSending;
};

} // namespace lacewing

#endif // TESTS_SOAK_CALLERHABIT_H
