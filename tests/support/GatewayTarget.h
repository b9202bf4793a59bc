#ifndef TESTS_SUPPORT_GATEWAYTARGET_H
#define TESTS_SUPPORT_GATEWAYTARGET_H

#include "support/ScriptedTarget.h"

#include <atomic>
#include <functional>
#include <string>

namespace lacewing {

/**
 * A target for tests of the gateway. It answers probes as idle and warm unless
 * a test sets the members below. Its response to a request comes from a script,
 * which receives the request's id and its number, counted from 1.
 */
class GatewayTarget
{
public:
  using Script =
    std::function<std::string(const std::string& aId, int aRequestNumber)>;

  explicit GatewayTarget(Script aScript,
                         ScriptedTarget::ReadsFirst aReadsFirst =
                           ScriptedTarget::ReadsFirst::kWholeRequest)
    : script_(std::move(aScript))
    , target_([this](int, const std::string& aHead) { return Respond(aHead); },
              aReadsFirst)
  {
  }

  Endpoint Address() const { return target_.Address(); }

  /** Number of requests received, not counting probes. */
  int Runs() const { return runs_; }

  /** Remaining cold time that probes report, in milliseconds. */
  std::atomic<int> coldMs{ 0 };
  /** Requests in progress that probes report; the target has 6 slots. */
  std::atomic<int> running{ 0 };
  /** Slowdown that probes report; 100 is the usual speed. */
  std::atomic<int> slowdownPercent{ 100 };
  /** Whether probes are answered with the load. */
  std::atomic<bool> reportsLoad{ true };
  /** HTTP status of the responses to probes. */
  std::atomic<int> healthStatus{ 200 };

  /** The head of the last request received that was not a probe. */
  std::string LastHead() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return lastHead_;
  }

  /** The value of header field aName in aHead; empty if absent. */
  static std::string FieldOf(const std::string& aHead, const std::string& aName)
  {
    const std::string key = "\r\n" + aName + ": ";
    const std::size_t at = aHead.find(key);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + key.size();
    return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
  }

private:
  std::string Respond(const std::string& aHead)
  {
    if (aHead.rfind("GET /health ", 0) == 0) {
      return "HTTP/1.1 " + std::to_string(healthStatus) +
             " Health\r\nContent-Length: 0\r\n" +
             (reportsLoad ? "Test-Load: " + std::to_string(running) + ",0,6," +
                              std::to_string(slowdownPercent) + "\r\n"
                          : std::string()) +
             "Test-Cold: " + std::to_string(coldMs) + "\r\n\r\n";
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      lastHead_ = aHead;
    }
    return script_(FieldOf(aHead, "Test-Id"), ++runs_);
  }

  mutable std::mutex mutex_;
  std::string lastHead_;
  Script script_;
  std::atomic<int> runs_{ 0 };
  ScriptedTarget target_;
};

/** A target's signed success response to the request with id aId. */
inline std::string SignedResponse(const std::string& aId,
                                  const std::string& aBody)
{
  return OkResponse(aBody, "Test-Id: " + aId + "\r\nTest-Signature: s\r\n");
}

} // namespace lacewing

#endif // TESTS_SUPPORT_GATEWAYTARGET_H
