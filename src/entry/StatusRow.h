#ifndef ENTRY_STATUSROW_H
#define ENTRY_STATUSROW_H

namespace lacewing {

/** How a front end answers one reason. */
struct StatusRow
{
  int status;
  /** The word of the Lacewing-Reason header. */
  const char* reason;
  /** Whether the answer carries Retry-After. */
  bool retryLater;
};

} // namespace lacewing

#endif // ENTRY_STATUSROW_H
