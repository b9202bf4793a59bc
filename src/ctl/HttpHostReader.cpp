#include "ctl/HttpHostReader.h"

#include "net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lacewing {

namespace {

// A dump grows with the fleet; 15,000 targets take about 3 MB.
constexpr ByteCount kMaxDump{ 32U << 20U };

Error Unreadable(ErrorKind aKind, const Endpoint& aAdmin, std::string aWhy)
{
  return { aKind,
           "http://" + aAdmin.ToString() + "/dump: " + std::move(aWhy),
           "check that the daemon runs and that this is its admin port" };
}

Outcome<nlohmann::json> ReadAnswer(const Endpoint& aAdmin,
                                   const HttpCallResult& aResult)
{
  switch (aResult.end) {
    case HttpCallEnd::kNotSent:
    case HttpCallEnd::kLost:
      return outcome::failure(
        Unreadable(ErrorKind::kUnavailable, aAdmin, aResult.error));
    case HttpCallEnd::kTimedOut:
      return outcome::failure(
        Unreadable(ErrorKind::kTimeout, aAdmin, "no answer in time"));
    case HttpCallEnd::kTooLarge:
      return outcome::failure(
        Unreadable(ErrorKind::kTooLarge, aAdmin, "the answer is too large"));
    case HttpCallEnd::kAnswered:
      break;
  }
  if (aResult.response.status != 200) {
    return outcome::failure(
      Unreadable(ErrorKind::kUnavailable,
                 aAdmin,
                 "status " + std::to_string(aResult.response.status)));
  }
  nlohmann::json dump =
    nlohmann::json::parse(aResult.response.body, nullptr, false);
  if (!dump.is_object()) {
    return outcome::failure(Unreadable(
      ErrorKind::kInvalidMessage, aAdmin, "the answer is no JSON object"));
  }
  return dump;
}

class HttpHostReader final : public HostReader
{
public:
  explicit HttpHostReader(asio::io_context& aContext)
    : client_(aContext, HttpClientOptions())
  {
  }

  void Dump(const Endpoint& aAdmin,
            std::chrono::milliseconds aTimeout,
            DumpHandler aHandler) override
  {
    HttpCall call;
    call.endpoint = aAdmin;
    call.target = "/dump";
    call.timeout = aTimeout;
    call.connectTimeout = std::min(call.connectTimeout, aTimeout);
    call.maxResponseBody = kMaxDump;
    call.idempotent = true;
    client_.Start(
      std::move(call),
      [aAdmin, handler = std::move(aHandler)](const HttpCallResult& aResult) {
        handler(ReadAnswer(aAdmin, aResult));
      });
  }

private:
  HttpClient client_;
};

} // namespace

std::unique_ptr<HostReader> MakeHttpHostReader(asio::io_context& aContext)
{
  return std::make_unique<HttpHostReader>(aContext);
}

} // namespace lacewing
