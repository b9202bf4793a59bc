#ifndef TESTS_SUPPORT_REFUSALREPEAT_H
#define TESTS_SUPPORT_REFUSALREPEAT_H

namespace lacewing {

/** When a faulty target writes a refusal once more. */
enum class RefusalRepeat
{
  kNever,
  kSameSegment,
  /** 20 ms after the refusal. */
  kLater,
  /** Where the response to the next request on the connection is expected. */
  kBeforeNextResponse,
};

} // namespace lacewing

#endif // TESTS_SUPPORT_REFUSALREPEAT_H
