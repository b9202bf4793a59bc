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
 * A caller that sends one request after the other, mostly on the connection
 * that it has, and now and then leaves before the answer.
 */
class SoakCaller
{
public:
  /** Where to connect; none while no host takes connections. */
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
  void ArmPatience(const std::string& aId, Duration aPatience);
  Duration Between(int aLeastMs, int aMostMs);

  asio::io_context& context_;
  const Clock& clock_;
  SoakLedger& ledger_;
  std::mt19937_64& random_;
  HostPicker pickHost_;
  RequestMaker makeRequest_;
  std::unique_ptr<HttpConnection> connection_;
  /** Id of the request without an answer so far; empty for none. */
  std::string open_;
  asio::steady_timer pause_;
  asio::steady_timer patience_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKCALLER_H
