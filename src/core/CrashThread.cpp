#include "core/CrashThread.h"

#include "core/SanitizerBuild.h"

#include <csignal>

namespace lacewing {

namespace {

// Holds the registers that the kernel saves (11 KB with AVX-512) and the
// handler. Pages that are never used cost no memory, so it is not initialized.
constexpr std::size_t kStackBytes = 64U << 10U;

thread_local const char* gName = "other";

void UseStack(std::byte* aStack)
{
  stack_t stack{};
  stack.ss_sp = aStack;
  stack.ss_size = kStackBytes;
  stack.ss_flags = aStack == nullptr ? SS_DISABLE : 0;
  // Without it only the overflow of a stack is not logged.
  (void)sigaltstack(&stack, nullptr);
}

} // namespace

CrashThread::CrashThread(const char* aName)
  : stack_(kSanitizerBuild ? nullptr : new std::byte[kStackBytes])
{
  gName = aName;
  if (stack_) {
    UseStack(stack_.get());
  }
}

CrashThread::~CrashThread()
{
  if (stack_) {
    UseStack(nullptr);
  }
  gName = "other";
}

const char* CrashThread::CurrentName()
{
  return gName;
}

} // namespace lacewing
