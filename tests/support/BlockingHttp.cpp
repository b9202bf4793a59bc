#include "support/BlockingHttp.h"

#include "net/HttpClient.h"

#include <asio/ip/tcp.hpp>

#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace lacewing {

HttpCallResult RunCall(HttpCall aCall)
{
  asio::io_context context;
  HttpClient client(context, {});
  std::optional<HttpCallResult> result;
  client.Start(std::move(aCall), [&](HttpCallResult aResult) {
    result = std::move(aResult);
    context.stop();
  });
  context.run();
  if (!result) {
    throw std::runtime_error("the call did not end");
  }
  return *std::move(result);
}

HttpCallResult Get(const Endpoint& aEndpoint, const std::string& aTarget)
{
  return Send("GET", aEndpoint, aTarget);
}

HttpCallResult Send(const std::string& aMethod,
                    const Endpoint& aEndpoint,
                    const std::string& aTarget,
                    const std::string& aBody,
                    const HttpFields& aFields)
{
  HttpCall call;
  call.endpoint = aEndpoint;
  call.method = aMethod;
  call.target = aTarget;
  call.fields = aFields;
  if (aMethod != "GET") {
    call.body = std::make_shared<const std::string>(aBody);
  }
  return RunCall(std::move(call));
}

nlohmann::json GetJson(const Endpoint& aEndpoint, const std::string& aTarget)
{
  const HttpCallResult result = Get(aEndpoint, aTarget);
  if (result.end != HttpCallEnd::kAnswered) {
    throw std::runtime_error("no answer to " + aTarget + ": " + result.error);
  }
  return nlohmann::json::parse(result.response.body);
}

bool WaitUntilListening(const Endpoint& aEndpoint,
                        std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  asio::io_context context;
  while (std::chrono::steady_clock::now() < end) {
    asio::ip::tcp::socket socket(context);
    asio::error_code error;
    socket.connect(
      { asio::ip::make_address_v4(aEndpoint.address), aEndpoint.port }, error);
    if (!error) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace lacewing
