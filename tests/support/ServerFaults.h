#ifndef TESTS_SUPPORT_SERVERFAULTS_H
#define TESTS_SUPPORT_SERVERFAULTS_H

namespace lacewing {

/** Faults of a stand-in server; any of them may be combined. */
struct ServerFaults
{
  /** Factor by which the work time of each request is multiplied. */
  double slowFactor = 1;
  /**
   * Every request is refused with 503 as not run, while health responses report
   * an idle server.
   */
  bool shedAll = false;
  /** Every request runs and gets status 500. */
  bool failAll = false;
  /** Requests run but get no response. */
  bool neverRespond = false;
  /** For every third response, the connection is closed instead. */
  bool loseResponses = false;
  /** Every third response is cut off in its body. */
  bool truncateResponses = false;
  /** Every third response is sent a second time 20 ms later. */
  bool duplicateResponses = false;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SERVERFAULTS_H
