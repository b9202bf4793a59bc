#ifndef TESTS_SUPPORT_REPEATINGTARGET_H
#define TESTS_SUPPORT_REPEATINGTARGET_H

#include "support/GatewayTarget.h"
#include "support/RefusalRepeat.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace lacewing {

/**
 * A target that refuses requests whose id begins with "refuse" and writes each
 * refusal once more on the same connection. It runs all other requests.
 */
class RepeatingTarget
{
public:
  RepeatingTarget(RefusalRepeat aRepeat, int aStatus, bool aWithId)
    : repeat_(aRepeat)
    , status_(aStatus)
    , withId_(aWithId)
    , target_([this](int, const std::string& aHead) { return Respond(aHead); })
  {
  }

  Endpoint Address() const { return target_.Address(); }
  int Connections() const { return target_.Connections(); }

  /** How often the request with that id ran. */
  int RunsOf(const std::string& aId) const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto runs = runs_.find(aId);
    return runs == runs_.end() ? 0 : runs->second;
  }

  /** How many of the next probes are refused as not run. */
  std::atomic<int> probesToRefuse{ 0 };
  /** Whether every request is refused. */
  std::atomic<bool> refusesAll{ false };

private:
  std::string Refusal(const std::string& aId) const
  {
    return "HTTP/1.1 " + std::to_string(status_) +
           " Refused\r\nContent-Length: 0\r\nTest-Not-Run: 1\r\n" +
           (withId_ ? "Test-Id: " + aId + "\r\n" : std::string()) + "\r\n";
  }

  std::string Refuse(const std::string& aId)
  {
    const std::string refusal = Refusal(aId);
    switch (repeat_) {
      case RefusalRepeat::kNever:
        return refusal;
      case RefusalRepeat::kBeforeNextResponse:
        repeats_[target_.Connection()] = refusal;
        return refusal;
      case RefusalRepeat::kSameSegment:
        return refusal + refusal;
      case RefusalRepeat::kLater:
        return refusal + ScriptedTarget::kDelayMarker + refusal;
    }
    return refusal;
  }

  std::string Respond(const std::string& aHead)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (aHead.rfind("GET /health ", 0) == 0) {
      if (probesToRefuse > 0) {
        --probesToRefuse;
        return Refuse({});
      }
      return OkResponse("", "Test-Load: 0,0,6,100\r\n");
    }
    const std::string id = GatewayTarget::FieldOf(aHead, "Test-Id");
    if (refusesAll || id.rfind("refuse", 0) == 0) {
      return Refuse(id);
    }
    ++runs_[id];
    const std::string response = SignedResponse(id, "ran " + id);
    const auto repeat = repeats_.find(target_.Connection());
    if (repeat == repeats_.end()) {
      return response;
    }
    const std::string refusal = repeat->second;
    repeats_.erase(repeat);
    return refusal + ScriptedTarget::kDelayMarker + response;
  }

  const RefusalRepeat repeat_;
  const int status_;
  const bool withId_;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<int, std::string> repeats_;
  ScriptedTarget target_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_REPEATINGTARGET_H
