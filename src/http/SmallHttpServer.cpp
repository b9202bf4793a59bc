#include "http/SmallHttpServer.h"

#include "core/OneShotTimer.h"
#include "http/AsyncRead.h"
#include "http/MessageBytes.h"
#include "http/MessageParser.h"
#include "http/SocketOptions.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <string>
#include <utility>

namespace lacewing {

namespace {

const ParserLimits kLimits{ ByteCount(8U << 10U), ByteCount(64U << 10U) };

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(asio::io_context& aContext,
          asio::ip::tcp::socket aSocket,
          Duration aTimeout,
          SmallHttpServer::Handler aHandler)
    : socket_(std::move(aSocket))
    , timeout_(aTimeout)
    , timer_(aContext)
    , parser_(MessageSide::kRequest, kLimits)
    , handler_(std::move(aHandler))
  {
  }

  void Start()
  {
    SetStreamOptions(socket_);
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    Read();
  }

private:
  /** Limits the time of the read or write that begins. */
  void ArmTimer()
  {
    timer_.Arm(timeout_, [self = weak_from_this()] {
      if (const auto session = self.lock()) {
        asio::error_code ignored;
        session->socket_.close(ignored);
      }
    });
  }

  void Read()
  {
    ArmTimer();
    AsyncRead(socket_,
              [self = shared_from_this()](const asio::error_code& aError,
                                          std::string_view aBytes) {
                if (!aError) {
                  self->pending_.append(aBytes);
                  self->Consume();
                }
              });
  }

  void Consume()
  {
    const std::size_t taken = parser_.Feed(pending_);
    pending_.erase(0, taken);
    if (parser_.Failure() != ParseFailure::kNone) {
      asio::error_code ignored;
      socket_.close(ignored);
      return;
    }
    if (!parser_.Whole()) {
      Read();
      return;
    }
    timer_.Cancel();
    HttpMessage request = parser_.Take();
    keepAlive_ = request.head.keepAlive;
    handler_(std::move(request),
             [self = shared_from_this()](HttpMessage aAnswer) {
               self->Write(std::move(aAnswer));
             });
  }

  void Write(HttpMessage aAnswer)
  {
    aAnswer.head.keepAlive = keepAlive_;
    out_ = AnswerHeadBytes(aAnswer.head, aAnswer.body.size()) + aAnswer.body;
    ArmTimer();
    asio::async_write(
      socket_,
      asio::buffer(out_),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
        self->timer_.Cancel();
        self->out_ = std::string();
        if (!aError && self->keepAlive_) {
          self->Consume();
        }
      });
  }

  asio::ip::tcp::socket socket_;
  const Duration timeout_;
  OneShotTimer timer_;
  MessageParser parser_;
  SmallHttpServer::Handler handler_;
  std::string pending_;
  std::string out_;
  bool keepAlive_ = true;
};

} // namespace

struct SmallHttpServer::Impl : std::enable_shared_from_this<Impl>
{
  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  Handler handler;
  const Duration timeout;

  Impl(asio::io_context& aContext, Handler aHandler, Duration aTimeout)
    : context(aContext)
    , acceptor(aContext)
    , handler(std::move(aHandler))
    , timeout(aTimeout)
  {
  }

  void Accept()
  {
    acceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& aError,
                                  asio::ip::tcp::socket aSocket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!aError) {
          std::make_shared<Session>(
            self->context, std::move(aSocket), self->timeout, self->handler)
            ->Start();
        }
        self->Accept();
      });
  }
};

SmallHttpServer::SmallHttpServer(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

SmallHttpServer::~SmallHttpServer()
{
  asio::error_code ignored;
  impl_->acceptor.close(ignored);
}

Outcome<std::unique_ptr<SmallHttpServer>> SmallHttpServer::Make(
  asio::io_context& aContext,
  const Endpoint& aEndpoint,
  Handler aHandler,
  Duration aTimeout)
{
  auto impl = std::make_shared<Impl>(aContext, std::move(aHandler), aTimeout);
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aEndpoint.address, error), aEndpoint.port);
  if (!error) {
    impl->acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    impl->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    impl->acceptor.bind(endpoint, error);
  }
  if (!error) {
    impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + aEndpoint.ToString() + ": " +
                  error.message(),
                "check that the address is this host's and free");
  }
  impl->Accept();
  return std::unique_ptr<SmallHttpServer>(new SmallHttpServer(std::move(impl)));
}

std::uint16_t SmallHttpServer::Port() const
{
  return impl_->acceptor.local_endpoint().port();
}

} // namespace lacewing
