#ifndef TESTS_SOAK_SOAKCALLER_H
#define TESTS_SOAK_SOAKCALLER_H

#include "http/HttpConnection.h"
#include "soak/SoakLedger.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace lacewing {

/**
 * A caller that sends one request at a time. It usually reuses its connection,
 * and sometimes closes it before the response arrives.
 */
class SoakCaller
{
public:
  /** Returns the address to connect to; none while no host is in rotation. */
  using HostPicker = std::function<std::optional<Endpoint>()>;
  using RequestMaker = std::function<SoakRequest()>;

  SoakCaller(asio::io_context& aContext,
             const Clock& aClock,
             SoakLedger& aLedger,
             std::mt19937_64& aRandom,
             HostPicker aPickHost,
             RequestMaker aMakeRequest);

  void Start();

private:
  void Wait();
  void Send();
  bool Connect();
  OutgoingRequest Outgoing(const SoakRequest& aRequest) const;
  void ArmTimeout(const std::string& aId, Duration aTimeout);
  Duration Between(int aLeastMs, int aMostMs);

  asio::io_context& context_;
  const Clock& clock_;
  SoakLedger& ledger_;
  std::mt19937_64& random_;
  HostPicker pickHost_;
  RequestMaker makeRequest_;
  std::unique_ptr<HttpConnection> connection_;
  /** Id of the request that awaits its response; empty if there is none. */
  std::string pendingId_;
  asio::steady_timer pause_;
  asio::steady_timer timeout_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKCALLER_H
