#ifndef CORE_LOG_H
#define CORE_LOG_H

#include "core/LogField.h"
#include "lacewing/Outcome.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/** Severity of a log line. */
enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/** Where log lines go. */
enum class LogStream
{
  /** Each line is written at once. */
  kStandardError,
  /** Lines wait for FlushLog(), bounded, and never block. */
  kStandardOutput,
};

/** aLevel is one of "debug", "info", "warning" and "error". */
Outcome<LogLevel> ParseLogLevel(const std::string& aLevel);

/** Sends structured lines "time level=... event=... key=value ...". */
void StartLogging(LogLevel aLevel,
                  LogStream aStream = LogStream::kStandardError);

/** Writes the lines that wait. */
void FlushLog();

/**
 * Writes the lines that wait for standard output and then aLine, which is
 * complete and ends with a line break, with async-signal-safe calls only. Needs
 * StartLogging() before; for a process that is about to end by a signal.
 */
void WriteLastLogLine(std::string_view aLine);

/** Writes one line; values with spaces or quotes are quoted. */
void Log(LogLevel aLevel,
         const std::string& aEvent,
         std::initializer_list<LogField> aFields = {});

/** The same with fields that are put together at run time. */
void LogFields(LogLevel aLevel,
               const std::string& aEvent,
               const std::vector<LogField>& aFields);

} // namespace lacewing

#endif // CORE_LOG_H
