#ifndef TESTS_SUPPORT_SERVERFAULTS_H
#define TESTS_SUPPORT_SERVERFAULTS_H

namespace lacewing {

/** What is wrong with a stand-in server; each may hold with others. */
struct ServerFaults
{
  /** Work takes so many times as long. */
  double slowFactor = 1;
  /** Every request is shed as not run, while health answers look idle. */
  bool shedAll = false;
  /** Every request runs and is answered 500. */
  bool failAll = false;
  /** Requests run and are never answered. */
  bool neverRespond = false;
  /** Every third answer is lost with its connection. */
  bool loseResponses = false;
  /** Every third answer ends in its middle. */
  bool truncateResponses = false;
  /** Every third answer comes a second time 20 ms later. */
  bool duplicateResponses = false;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SERVERFAULTS_H
