#ifndef TESTS_SUPPORT_TESTPLATFORM_H
#define TESTS_SUPPORT_TESTPLATFORM_H

#include "core/MonotonicClock.h"
#include "net/HttpClient.h"
#include "standin/Platform.h"
#include "support/RunUntil.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace lacewing {

/** A port that the kernel considers free at this moment. */
inline std::uint16_t FreePort()
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

/** The stand-in platform within the test's io_context. */
class TestPlatform
{
public:
  explicit TestPlatform(asio::io_context& aContext)
    : context_(aContext)
    , endpoint_{ "127.0.0.1", FreePort() }
    , client_(aContext, {})
  {
    auto made = Platform::Make(aContext, clock_, endpoint_, {});
    REQUIRE(made.has_value());
    platform_ = std::move(made).value();
  }

  const Endpoint& Where() const { return endpoint_; }

  void SetFaults(const std::string& aJson) { Call("PUT", "/faults", aJson); }

  void AddHost(const std::string& aId,
               const std::string& aZone,
               const std::string& aAddress = "127.0.0.1")
  {
    Call("PUT",
         "/hosts/" + aId,
         R"({"address":")" + aAddress + R"(","zone":")" + aZone + "\"}");
  }

  void Put(const std::string& aKey, const std::string& aBody)
  {
    Call("PUT", "/objects/" + aKey, aBody);
  }

private:
  void Call(const char* aMethod,
            const std::string& aTarget,
            const std::string& aBody)
  {
    HttpCall call;
    call.endpoint = endpoint_;
    call.method = aMethod;
    call.target = aTarget;
    call.body = std::make_shared<const std::string>(aBody);
    std::optional<HttpCallResult> result;
    client_.Start(call, [&](HttpCallResult aResult) { result = aResult; });
    REQUIRE(RunUntil(context_, [&] { return result.has_value(); }));
    REQUIRE(result->response.status / 100 == 2);
  }

  asio::io_context& context_;
  MonotonicClock clock_;
  Endpoint endpoint_;
  std::unique_ptr<Platform> platform_;
  HttpClient client_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_TESTPLATFORM_H
