#ifndef TESTS_SOAK_SOAKTERMS_H
#define TESTS_SOAK_SOAKTERMS_H

#include "lacewing/Clock.h"

namespace lacewing {

/** The users' bounds; hosts get them as settings, and the checks apply them. */
struct SoakTerms
{
  double retryRatio = 0.2;
  Duration retryWindow = std::chrono::seconds(10);
  double retrySlack = 20;
  Duration warmUp = std::chrono::milliseconds(1500);
  double warmUpRate = 5;
  double coldOvershoot = 1.5;
  double coldSlack = 8;
  Duration drain = std::chrono::milliseconds(2500);
  Duration configApply = std::chrono::milliseconds(2500);
  /** A host that has used a version may not go back to an older one. */
  Duration rollbackSlack = std::chrono::milliseconds(250);
  Duration evacuate = std::chrono::seconds(5);
  Duration grace = std::chrono::seconds(6);
  /**
   * A request sent while the host closes the connection may be lost if it ends
   * within this time.
   */
  Duration lossSlack = std::chrono::milliseconds(200);
  Duration recovery = std::chrono::seconds(15);
  unsigned maxAttempts = 2;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKTERMS_H
