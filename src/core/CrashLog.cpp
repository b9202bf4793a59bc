#include "core/CrashLog.h"

#include "core/CrashThread.h"
#include "core/Log.h"
#include "core/SanitizerBuild.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string>
#include <string_view>

namespace lacewing {

namespace {

struct FatalSignal
{
  int number;
  const char* name;
};

constexpr std::array<FatalSignal, 5> kFatalSignals{ {
  { SIGSEGV, "SIGSEGV" },
  { SIGBUS, "SIGBUS" },
  { SIGILL, "SIGILL" },
  { SIGFPE, "SIGFPE" },
  { SIGABRT, "SIGABRT" },
} };

/** A line that is built without memory from the heap. */
class FixedLine
{
public:
  void Add(std::string_view aText)
  {
    const std::size_t count = std::min(aText.size(), text_.size() - size_);
    std::copy_n(aText.data(), count, text_.data() + size_);
    size_ += count;
  }

  /** Adds leading zeros up to aWidth digits. */
  void AddNumber(std::uint64_t aNumber, unsigned aBase, std::size_t aWidth = 1)
  {
    std::array<char, 20> digits{};
    std::size_t at = digits.size();
    for (; aNumber > 0 || digits.size() - at < aWidth; aNumber /= aBase) {
      digits[--at] = "0123456789abcdef"[aNumber % aBase];
    }
    Add({ digits.data() + at, digits.size() - at });
  }

  std::string_view Text() const { return { text_.data(), size_ }; }

private:
  std::array<char, 512> text_{};
  std::size_t size_ = 0;
};

std::terminate_handler gDefaultTerminate = nullptr;
std::atomic_flag gLogged = ATOMIC_FLAG_INIT;

/**
 * Adds the date as the other lines have it. gmtime_r is not async-signal-safe,
 * so the date is computed here, in years that start in March.
 */
void AddTime(FixedLine& aLine)
{
  constexpr std::uint64_t kDaysBefore1970 = 719468;
  constexpr std::uint64_t kDaysPer400Years = 146097;
  timespec now{};
  (void)clock_gettime(CLOCK_REALTIME, &now);
  const auto seconds = static_cast<std::uint64_t>(now.tv_sec);
  const std::uint64_t days = seconds / 86400 + kDaysBefore1970;
  const std::uint64_t dayOfEra = days % kDaysPer400Years;
  const std::uint64_t yearOfEra =
    (dayOfEra - dayOfEra / 1460 + dayOfEra / 36524 - dayOfEra / 146096) / 365;
  const std::uint64_t dayOfYear =
    dayOfEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
  const std::uint64_t monthFromMarch = (5 * dayOfYear + 2) / 153;
  const std::uint64_t month =
    monthFromMarch < 10 ? monthFromMarch + 3 : monthFromMarch - 9;
  aLine.AddNumber(
    days / kDaysPer400Years * 400 + yearOfEra + (month <= 2 ? 1 : 0), 10, 4);
  aLine.Add("-");
  aLine.AddNumber(month, 10, 2);
  aLine.Add("-");
  aLine.AddNumber(dayOfYear - (153 * monthFromMarch + 2) / 5 + 1, 10, 2);
  aLine.Add("T");
  aLine.AddNumber(seconds / 3600 % 24, 10, 2);
  aLine.Add(":");
  aLine.AddNumber(seconds / 60 % 60, 10, 2);
  aLine.Add(":");
  aLine.AddNumber(seconds % 60, 10, 2);
  aLine.Add(".");
  aLine.AddNumber(static_cast<std::uint64_t>(now.tv_nsec) / 1000000, 10, 3);
  aLine.Add("Z");
}

const char* NameOf(int aSignal)
{
  for (const FatalSignal& signal : kFatalSignals) {
    if (signal.number == aSignal) {
      return signal.name;
    }
  }
  return "other";
}

/** Writes the process's last line, once, with async-signal-safe calls only. */
void WriteCrash(int aSignal, const void* aAddress, std::string_view aError)
{
  if (gLogged.test_and_set()) {
    return;
  }
  FixedLine line;
  AddTime(line);
  line.Add(" level=ERROR event=crashed signal=");
  line.Add(NameOf(aSignal));
  line.Add(" thread=");
  line.Add(CrashThread::CurrentName());
  if (aAddress != nullptr) {
    line.Add(" address=0x");
    line.AddNumber(reinterpret_cast<std::uintptr_t>(aAddress), 16);
  }
  if (!aError.empty()) {
    line.Add(" error=\"");
    line.Add(aError);
    line.Add("\"");
  }
  line.Add("\n");
  WriteLastLogLine(line.Text());
}

/** Only async-signal-safe calls are allowed here. */
void OnFatalSignal(int aSignal, siginfo_t* aInfo, void* /*aContext*/)
{
  // A signal that a process sent has no address.
  WriteCrash(aSignal, aInfo->si_code > 0 ? aInfo->si_addr : nullptr, {});
  // The default action is in force again (SA_RESETHAND). The signal is blocked
  // until this handler returns.
  (void)raise(aSignal);
}

/** The start of aText, without what would need to be escaped. */
std::string Printable(std::string_view aText)
{
  constexpr std::size_t kMaxLength = 160;
  std::string text(aText.substr(0, kMaxLength));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return aChar < ' ' || aChar == '"' || aChar == '\\'; },
    '?');
  return text;
}

/**
 * Writes the line itself: the users' bench ends a process that calls abort()
 * without its handler of SIGABRT (docs/platform.md, questions).
 */
[[noreturn]] void OnTerminate()
{
  std::string text = "std::terminate";
  try {
    if (const std::exception_ptr error = std::current_exception()) {
      text = "an exception that is no std::exception";
      std::rethrow_exception(error);
    }
  } catch (const std::exception& error) {
    text = Printable(error.what());
  } catch (...) {
  }
  WriteCrash(SIGABRT, nullptr, text);
  gDefaultTerminate();
  std::abort();
}

} // namespace

void LogCrashes()
{
  if (kSanitizerBuild) {
    return;
  }
  gDefaultTerminate = std::set_terminate(OnTerminate);
  struct sigaction action = {};
  action.sa_sigaction = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  for (const FatalSignal& signal : kFatalSignals) {
    (void)sigaction(signal.number, &action, nullptr);
  }
}

} // namespace lacewing
