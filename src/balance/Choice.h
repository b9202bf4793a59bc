#ifndef BALANCE_CHOICE_H
#define BALANCE_CHOICE_H

#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** A ranked target and the figures behind its rank. */
struct Choice
{
  /** Index into the candidates that were ranked. */
  std::size_t index = 0;
  /** Expected time until the response, including penalties. */
  Duration expected{ 0 };
  /** Age of the load reading; zero without one. */
  Duration readingAge{ 0 };
  /** Requests at the target, including those sent after the reading. */
  unsigned busy = 0;
  /** How long requests take at the target; 100 is its usual time. */
  unsigned slowdownPercent = 100;
  /** Whether busy and slowdownPercent are the target's own figures. */
  bool loadReported = false;
  /** The target is not known to be warm. */
  bool cold = false;
};

} // namespace lacewing

#endif // BALANCE_CHOICE_H
