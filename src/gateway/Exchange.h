#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "balance/AttemptEnd.h"
#include "gateway/Attempt.h"
#include "gateway/LocalResponse.h"
#include "gateway/RequestTrace.h"
#include "gateway/TargetFinder.h"
#include "gateway/TrafficState.h"
#include "http/HttpMessage.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** One caller's request from its last byte to its answer. */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  using Handler = std::function<void(HttpMessage)>;

  Exchange(TrafficState& aState, HttpMessage aRequest, Handler aHandler);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /** Finds the route and sends; the handler is called once, perhaps now. */
  void Start();

  /**
   * The caller has gone. A request that may be repeated is cancelled at its
   * target; one that runs at most once is left to end.
   */
  void Abandon();

private:
  std::string FieldOf(const std::string& aName) const;
  void Begin();
  void ArmDeadline();
  void ArmHedge(Duration aAfter, bool aLast);
  void OnHedge(bool aLast);
  bool LooksStuck(const Attempt& aAttempt) const;

  /** Looks for a further target; false when there is none to ask. */
  bool Seek();
  Demand DemandNow() const;
  void OnFound(std::optional<FoundTarget> aFound);
  void Send(FoundTarget aTarget);
  HttpHead RequestHead(const TargetSpec& aTarget) const;

  void OnEnded(AttemptId aAttempt, ExchangeResult aResult);
  bool TryRepeat(AttemptEnd aEnd);
  void WaitForRoom();
  void SeekOrWait();
  void LookAgain(void (Exchange::*aStep)());
  /** Ends the request when nothing more can come of it. */
  void Conclude();
  void FinishOwn(OwnAnswerKind aKind);
  void Finish(HttpMessage aAnswer, const char* aOutcome);
  void CancelAttempts();
  RequestTrace Trace() const;

  TrafficState& state_;
  HttpHead head_;
  std::shared_ptr<const std::string> body_;
  Handler handler_;
  std::string id_;
  TimePoint startedAt_;
  TimePoint deadline_;
  /** Keeps route_ alive across a change of configuration. */
  std::shared_ptr<const RouteTable> routes_;
  const RouteSpec* route_ = nullptr;
  ServiceId service_;
  std::vector<Attempt> attempts_;
  std::set<TargetId> tried_;
  /** Sendings whose bytes may have reached a target. */
  unsigned sent_ = 0;
  unsigned tries_ = 0;
  /** An attempt ended without proof that it did not run. */
  bool mayHaveRun_ = false;
  /** How the last attempt ended; none when none was sent. */
  AttemptEnd lastEnd_ = AttemptEnd::kNotSent;
  HttpMessage lastAnswer_;
  AttemptId nextAttempt_;
  TargetScout scout_;
  asio::steady_timer deadlineTimer_;
  asio::steady_timer stepTimer_;
  bool abandoned_ = false;
  bool done_ = false;
};

} // namespace lacewing

#endif // GATEWAY_EXCHANGE_H
