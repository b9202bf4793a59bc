#ifndef CORE_CRASHLOG_H
#define CORE_CRASHLOG_H

namespace lacewing {

/**
 * From now on a process that ends by a fatal signal (SIGSEGV, SIGBUS, SIGILL,
 * SIGFPE or SIGABRT) or by std::terminate first writes the log lines that wait
 * and one line "event=crashed signal=... thread=..." to standard output. The
 * signal's default action follows, so that the exit status stays the same. Does
 * nothing in sanitizer builds, which report such an end themselves. Called once
 * in a process.
 */
void LogCrashes();

} // namespace lacewing

#endif // CORE_CRASHLOG_H
