#ifndef BALANCE_CHOICE_H
#define BALANCE_CHOICE_H

#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** A chosen target and what decided for it. */
struct Choice
{
  /** Index of the candidate. */
  std::size_t index = 0;
  /** When the answer is expected, with penalties. */
  Duration expected{ 0 };
  Duration readingAge{ 0 };
  unsigned busy = 0;
  unsigned slowdownPercent = 100;
  bool cold = false;
};

} // namespace lacewing

#endif // BALANCE_CHOICE_H
