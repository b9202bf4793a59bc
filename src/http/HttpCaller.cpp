#include "http/HttpCaller.h"

#include "core/OneShotTimer.h"
#include "http/HttpConnection.h"

#include <utility>

namespace lacewing {

namespace {

// Kept connections that were idle for longer are opened anew, so that a call
// does not meet the server's closing.
constexpr Duration kMaxIdle = std::chrono::seconds(4);

} // namespace

struct HttpCaller::Impl : std::enable_shared_from_this<Impl>
{
  asio::io_context& context;
  const ConnectionOptions options;
  const Clock& clock;
  OneShotTimer timer;
  std::unique_ptr<HttpConnection> connection;
  Handler handler;

  Impl(asio::io_context& aContext,
       const ConnectionOptions& aOptions,
       const Clock& aClock)
    : context(aContext)
    , options(aOptions)
    , clock(aClock)
    , timer(aContext)
  {
  }

  void Prepare()
  {
    if (connection && connection->Reusable() &&
        connection->IdleSince() + kMaxIdle > clock.Now()) {
      return;
    }
    connection = std::make_unique<HttpConnection>(context, options, clock);
  }

  void Finish(ExchangeResult aResult)
  {
    timer.Cancel();
    if (aResult.end != ExchangeEnd::kAnswered) {
      connection.reset();
    }
    if (const Handler done = std::exchange(handler, nullptr)) {
      done(std::move(aResult));
    }
  }

  void ArmTimeout(Duration aTimeout)
  {
    timer.Arm(aTimeout, [self = weak_from_this()] {
      if (const auto impl = self.lock()) {
        impl->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    connection->ReadArrived();
    if (!connection->Busy()) {
      return;
    }
    ExchangeResult result;
    result.end = ExchangeEnd::kLost;
    result.detail = "no answer in time";
    Finish(std::move(result));
  }
};

HttpCaller::HttpCaller(asio::io_context& aContext,
                       const ConnectionOptions& aOptions,
                       const Clock& aClock)
  : impl_(std::make_shared<Impl>(aContext, aOptions, aClock))
{
}

HttpCaller::~HttpCaller()
{
  impl_->timer.Cancel();
  impl_->handler = nullptr;
  impl_->connection.reset();
}

void HttpCaller::Call(HttpMessage aRequest, Duration aTimeout, Handler aHandler)
{
  impl_->Prepare();
  impl_->handler = std::move(aHandler);
  impl_->ArmTimeout(aTimeout);
  OutgoingRequest request;
  request.head = std::move(aRequest.head);
  request.head.fields.Set("Host", impl_->options.endpoint.ToString());
  if (!aRequest.body.empty()) {
    request.body =
      std::make_shared<const std::string>(std::move(aRequest.body));
  }
  impl_->connection->Send(
    std::move(request),
    [impl = std::weak_ptr<Impl>(impl_)](ExchangeResult aResult) {
      if (const auto self = impl.lock()) {
        self->Finish(std::move(aResult));
      }
    });
}

bool HttpCaller::Busy() const
{
  return static_cast<bool>(impl_->handler);
}

const Endpoint& HttpCaller::Server() const
{
  return impl_->options.endpoint;
}

} // namespace lacewing
