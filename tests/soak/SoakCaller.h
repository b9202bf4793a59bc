#ifndef TESTS_SOAK_SOAKCALLER_H
#define TESTS_SOAK_SOAKCALLER_H

#include "http/HttpConnection.h"
#include "soak/CallerHabit.h"
#include "soak/HalfClosingExchange.h"
#include "soak/SoakHost.h"
#include "soak/SoakLedger.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lacewing {

/**
 * A caller that sends one request at a time. Its habit says how it uses its
 * connection; it sometimes closes it before the response arrives.
 */
class SoakCaller
{
public:
  /** Returns the host to connect to; null while there is none. */
  using HostPicker = std::function<SoakHost*(const CallerHabit&)>;
  using RequestMaker = std::function<SoakRequest()>;
  using IdleLimit = std::function<Duration()>;

  SoakCaller(asio::io_context& aContext,
             const Clock& aClock,
             SoakLedger& aLedger,
             std::mt19937_64& aRandom,
             const CallerHabit& aHabit,
             HostPicker aPickHost,
             RequestMaker aMakeRequest,
             IdleLimit aIdleLimit);

  void Start();

private:
  void Wait();
  void Send();
  Duration Pause();
  bool Connect();
  void SendAndEnd(const SoakRequest& aRequest);
  void OnEnded(const std::string& aId, const ExchangeResult& aResult);
  OutgoingRequest Outgoing(const SoakRequest& aRequest) const;
  void ArmTimeout(const std::string& aId);
  Duration Between(int aLeastMs, int aMostMs);

  asio::io_context& context_;
  const Clock& clock_;
  SoakLedger& ledger_;
  std::mt19937_64& random_;
  const CallerHabit habit_;
  HostPicker pickHost_;
  RequestMaker makeRequest_;
  IdleLimit idleLimit_;
  /** The host that the connection leads to. */
  SoakHost* host_ = nullptr;
  std::unique_ptr<HttpConnection> connection_;
  std::shared_ptr<HalfClosingExchange> halfClosing_;
  /** Id of the request that awaits its response; empty if there is none. */
  std::string pendingId_;
  asio::steady_timer pause_;
  asio::steady_timer timeout_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKCALLER_H
