#include "core/Log.h"

#include "core/BoundedLog.h"
#include "core/LogValue.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>
#include <unistd.h>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array<std::pair<const char*, LogLevel>, 4> kLevels{ {
  { "debug", LogLevel::kDebug },
  { "info", LogLevel::kInfo },
  { "warning", LogLevel::kWarning },
  { "error", LogLevel::kError },
} };

log4cplus::LogLevel ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// About two seconds of lines at a thousand requests a second.
constexpr std::size_t kMaxWaitingBytes = 256U << 10U;

BoundedLog& OutputLog()
{
  static BoundedLog log(STDOUT_FILENO, kMaxWaitingBytes);
  return log;
}

/** Hands formatted lines to OutputLog(). */
class OutputAppender final : public log4cplus::Appender
{
public:
  ~OutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    log_.Add(formatEvent(aEvent));
  }

private:
  // Made with the appender, before a signal's handler needs it.
  BoundedLog& log_ = OutputLog();
};

log4cplus::SharedAppenderPtr MakeAppender(LogStream aStream)
{
  if (aStream == LogStream::kStandardOutput) {
    return log4cplus::SharedAppenderPtr(new OutputAppender);
  }
  return log4cplus::SharedAppenderPtr(
    new log4cplus::ConsoleAppender(true, true));
}

log4cplus::Logger& RootLogger()
{
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

} // namespace

Outcome<LogLevel> ParseLogLevel(const std::string& aLevel)
{
  for (const auto& [name, level] : kLevels) {
    if (aLevel == name) {
      return level;
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + aLevel + "\" is not a log level",
              "write debug, info, warning or error");
}

void StartLogging(LogLevel aLevel, LogStream aStream)
{
  static log4cplus::Initializer initializer;
  const log4cplus::SharedAppenderPtr appender = MakeAppender(aStream);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    LOG4CPLUS_TEXT("%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
  RootLogger().removeAllAppenders();
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(ToLibraryLevel(aLevel));
}

void FlushLog()
{
  OutputLog().Flush();
}

void WriteLastLogLine(std::string_view aLine)
{
  OutputLog().WriteLast(aLine);
}

void Log(LogLevel aLevel,
         const std::string& aEvent,
         std::initializer_list<LogField> aFields)
{
  if (RootLogger().isEnabledFor(ToLibraryLevel(aLevel))) {
    LogFields(aLevel, aEvent, aFields);
  }
}

void LogFields(LogLevel aLevel,
               const std::string& aEvent,
               const std::vector<LogField>& aFields)
{
  const log4cplus::LogLevel level = ToLibraryLevel(aLevel);
  if (!RootLogger().isEnabledFor(level)) {
    return;
  }
  std::string line = "event=" + FormatLogValue(aEvent);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += FormatLogValue(field.value);
  }
  RootLogger().forcedLog(level, line);
}

} // namespace lacewing
