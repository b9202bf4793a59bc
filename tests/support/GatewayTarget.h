#ifndef TESTS_SUPPORT_GATEWAYTARGET_H
#define TESTS_SUPPORT_GATEWAYTARGET_H

#include "support/ScriptedTarget.h"

#include <atomic>
#include <functional>
#include <string>

namespace lacewing {

/**
 * A target for the gateway: answers probes as idle and warm unless told
 * otherwise, and requests by a script that gets the request's id and number.
 */
class GatewayTarget
{
public:
  using Script =
    std::function<std::string(const std::string& aId, int aRequestNumber)>;

  explicit GatewayTarget(Script aScript)
    : script_(std::move(aScript))
    , target_([this](int, const std::string& aHead) { return Respond(aHead); })
  {
  }

  Endpoint Address() const { return target_.Address(); }

  /** Requests that arrived, without probes. */
  int Runs() const { return runs_; }

  std::atomic<int> coldMs{ 0 };
  std::atomic<int> slowdownPercent{ 100 };
  std::atomic<int> healthStatus{ 200 };

  /** The last head that arrived, without probes. */
  std::string LastHead() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return lastHead_;
  }

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
             " Health\r\nContent-Length: 0\r\nTest-Load: 0,0,6," +
             std::to_string(slowdownPercent) +
             "\r\nTest-Cold: " + std::to_string(coldMs) + "\r\n\r\n";
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

/** A target's signed success with the id of its request. */
inline std::string SignedResponse(const std::string& aId,
                                  const std::string& aBody)
{
  return OkResponse(aBody, "Test-Id: " + aId + "\r\nTest-Signature: s\r\n");
}

} // namespace lacewing

#endif // TESTS_SUPPORT_GATEWAYTARGET_H
