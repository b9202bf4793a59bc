#include "http/HttpConnection.h"

#include "core/OneShotTimer.h"
#include "http/AsyncRead.h"
#include "http/MessageBytes.h"
#include "http/MessageParser.h"
#include "http/OpenConnection.h"
#include "http/ReadBuffer.h"
#include "http/SocketOptions.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <cassert>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Beyond this number of answers that are skipped before the expected one, the
// peer is taken to send without end.
constexpr unsigned kMaxSkippedAnswers = 16;

/** Reads "timeout=5" out of a Keep-Alive value. */
std::optional<Duration> KeepAliveTimeout(const std::string& aValue)
{
  constexpr std::string_view kKey = "timeout=";
  const std::size_t at = aValue.find(kKey);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  unsigned seconds = 0;
  const char* first = aValue.data() + at + kKey.size();
  const auto [end, error] =
    std::from_chars(first, aValue.data() + aValue.size(), seconds);
  if (error != std::errc() || end == first) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

struct HttpConnection::Impl : std::enable_shared_from_this<Impl>
{
  enum class Phase
  {
    kNew,
    kConnecting,
    kOpen,
    kClosed,
  };

  asio::io_context& context;
  const ConnectionOptions options;
  const Clock& clock;
  asio::ip::tcp::socket socket;
  /** Exists only while connecting, since idle connections are kept. */
  std::optional<OneShotTimer> connectTimer;
  /** Counts the connection until it is closed. */
  std::optional<OpenConnection> counted;
  MessageParser parser;
  Phase phase = Phase::kNew;
  bool reading = false;
  bool writing = false;
  bool reusable = true;
  /** Whether an answer that is assigned by its place proves nothing. */
  bool ambiguous = false;
  /** Interim answers and those to other requests since the last Send(). */
  unsigned skipped = 0;
  TimePoint idleSince;
  std::optional<Duration> keepAlive;
  OutgoingRequest request;
  std::string headBytes;
  Handler handler;
  std::function<void()> idleEnd;

  Impl(asio::io_context& aContext,
       const ConnectionOptions& aOptions,
       const Clock& aClock)
    : context(aContext)
    , options(aOptions)
    , clock(aClock)
    , socket(aContext)
    , parser(MessageSide::kAnswer, aOptions.limits)
    , idleSince(aClock.Now())
  {
    if (options.count) {
      counted.emplace(options.count);
    }
  }

  void Close()
  {
    phase = Phase::kClosed;
    reusable = false;
    connectTimer.reset();
    asio::error_code ignored;
    socket.close(ignored);
    counted.reset();
  }

  /** Ends the request; later, so that a handler may destroy the owner. */
  void Finish(ExchangeEnd aEnd,
              std::string aDetail,
              HttpMessage aAnswer = {},
              bool aIdentified = true)
  {
    if (!handler) {
      return;
    }
    if (aEnd != ExchangeEnd::kAnswered) {
      Close();
    }
    idleSince = clock.Now();
    request = OutgoingRequest();
    ExchangeResult result;
    result.end = aEnd;
    result.answer = std::move(aAnswer);
    result.identified = aIdentified;
    result.detail = std::move(aDetail);
    asio::post(context,
               [self = shared_from_this(),
                done = std::exchange(handler, nullptr),
                ended = std::move(result)]() mutable {
                 if (!self->abandoned) {
                   done(std::move(ended));
                 }
               });
  }

  void Connect()
  {
    phase = Phase::kConnecting;
    asio::error_code failed;
    const auto address =
      asio::ip::make_address(options.endpoint.address, failed);
    if (failed) {
      Finish(ExchangeEnd::kNotSent, "bad address");
      return;
    }
    connectTimer.emplace(context);
    connectTimer->Arm(options.connectTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Finish(ExchangeEnd::kNotSent, "connecting took too long");
      }
    });
    socket.async_connect(
      { address, options.endpoint.port },
      [self = shared_from_this()](const asio::error_code& aError) {
        self->OnConnected(aError);
      });
  }

  void OnConnected(const asio::error_code& aError)
  {
    if (phase != Phase::kConnecting) {
      return;
    }
    connectTimer.reset();
    if (aError) {
      Finish(ExchangeEnd::kNotSent, "connect: " + aError.message());
      return;
    }
    SetStreamOptions(socket);
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    phase = Phase::kOpen;
    Write();
    Read();
  }

  void Write()
  {
    std::vector<asio::const_buffer> parts{ asio::buffer(headBytes) };
    if (request.body) {
      parts.push_back(asio::buffer(*request.body));
    }
    writing = true;
    asio::async_write(socket,
                      parts,
                      [self = shared_from_this(), body = request.body](
                        const asio::error_code& aError, std::size_t aCount) {
                        self->OnWritten(aError, aCount);
                      });
  }

  void OnWritten(const asio::error_code& aError, std::size_t aCount)
  {
    writing = false;
    if (!aError || phase != Phase::kOpen || !handler) {
      return;
    }
    if (aCount == 0) {
      Finish(ExchangeEnd::kNotSent, "write: " + aError.message());
      return;
    }
    // The answer may already be on its way; reading decides. The end of the
    // connection does not: this error is no longer reported to a read.
    reusable = false;
  }

  void Read()
  {
    if (reading || phase != Phase::kOpen) {
      return;
    }
    reading = true;
    AsyncRead(socket,
              [self = shared_from_this()](const asio::error_code& aError,
                                          std::string_view aBytes) {
                self->reading = false;
                self->OnRead(aError, aBytes);
              });
  }

  /** The wait of Read() stays pending and finds nothing more to read. */
  void ReadArrived()
  {
    ReadBuffer& buffer = ThreadReadBuffer();
    while (phase == Phase::kOpen) {
      asio::error_code error;
      const std::size_t count = socket.read_some(asio::buffer(buffer), error);
      if (error == asio::error::would_block ||
          error == asio::error::try_again) {
        return;
      }
      OnRead(error, std::string_view(buffer.data(), count));
    }
  }

  void OnRead(const asio::error_code& aError, std::string_view aBytes)
  {
    if (phase != Phase::kOpen) {
      return;
    }
    if (!handler) {
      EndIdle();
      return;
    }
    if (aError == asio::error::eof) {
      OnEnd();
      return;
    }
    if (aError) {
      Finish(ExchangeEnd::kLost, "read: " + aError.message());
      return;
    }
    Consume(aBytes);
  }

  void EndIdle()
  {
    Close();
    if (idleEnd) {
      asio::post(
        context,
        [self = shared_from_this(), ended = std::exchange(idleEnd, nullptr)] {
          if (!self->abandoned) {
            ended();
          }
        });
    }
  }

  /**
   * Whether the connection has failed instead of being closed by the peer. The
   * kernel reports a reset once; after a write got it, a read finds an end as
   * after an orderly close. But only a reset leaves the socket without a peer,
   * whichever call got the error and whichever handler runs first.
   */
  bool Failed() const
  {
    asio::error_code error;
    (void)socket.remote_endpoint(error);
    return static_cast<bool>(error);
  }

  /** The peer closed: only an answer without a length is whole now. */
  void OnEnd()
  {
    reusable = false;
    if (Failed()) {
      Finish(ExchangeEnd::kLost, "the connection was reset");
      return;
    }
    parser.FeedEnd();
    if (parser.Whole()) {
      const AnswerMatch match = Match();
      if (match != AnswerMatch::kForeign) {
        FinishAnswer(match, false);
        return;
      }
    }
    Finish(ExchangeEnd::kLost,
           parser.Started() ? "the answer broke off" : "closed unanswered");
  }

  AnswerMatch Match() const
  {
    if (parser.Head().status / 100 == 1) {
      return AnswerMatch::kForeign;
    }
    return request.match ? request.match(parser.Head()) : AnswerMatch::kCertain;
  }

  void Consume(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      aBytes.remove_prefix(parser.Feed(aBytes));
      if (parser.Failure() != ParseFailure::kNone) {
        OnParseFailure();
        return;
      }
      if (!parser.Whole()) {
        break;
      }
      const AnswerMatch match = Match();
      if (match != AnswerMatch::kForeign) {
        FinishAnswer(match, !aBytes.empty());
        return;
      }
      if (++skipped > kMaxSkippedAnswers) {
        Finish(ExchangeEnd::kMalformed, "too many answers to other requests");
        return;
      }
      SkipAnswer();
    }
    Read();
  }

  void OnParseFailure()
  {
    if (parser.Failure() == ParseFailure::kNoMemory) {
      Finish(ExchangeEnd::kLost, "no memory left for the answer");
    } else {
      Finish(ExchangeEnd::kMalformed, "bytes that are no answer");
    }
  }

  /** Drops an interim answer or one that belongs to an earlier request. */
  void SkipAnswer()
  {
    if (parser.Head().status / 100 != 1) {
      reusable = false;
      ambiguous = true;
    }
    parser.Reset();
    ExpectBody();
  }

  void ExpectBody()
  {
    if (request.head.method == "HEAD") {
      parser.ExpectNoBody();
    }
  }

  void FinishAnswer(AnswerMatch aMatch, bool aMoreBytes)
  {
    const bool byPosition = aMatch == AnswerMatch::kByPosition;
    const bool identified = !byPosition || (!ambiguous && !aMoreBytes);
    ambiguous |= byPosition;
    HttpMessage answer = parser.Take();
    if (const std::string* field = answer.head.fields.Find("Keep-Alive")) {
      keepAlive = KeepAliveTimeout(*field);
    }
    if (aMoreBytes || writing || !answer.head.keepAlive) {
      reusable = false;
    }
    Finish(ExchangeEnd::kAnswered,
           identified ? "" : "may be the answer to another request",
           std::move(answer),
           identified);
    if (reusable) {
      Read();
    } else {
      Close();
    }
  }

  bool abandoned = false;
};

HttpConnection::HttpConnection(asio::io_context& aContext,
                               const ConnectionOptions& aOptions,
                               const Clock& aClock)
  : impl_(std::make_shared<Impl>(aContext, aOptions, aClock))
{
}

HttpConnection::~HttpConnection()
{
  impl_->abandoned = true;
  impl_->handler = nullptr;
  impl_->idleEnd = nullptr;
  impl_->Close();
}

void HttpConnection::Send(OutgoingRequest aRequest, Handler aHandler)
{
  assert(impl_->reusable && !impl_->handler);
  impl_->request = std::move(aRequest);
  impl_->handler = std::move(aHandler);
  impl_->skipped = 0;
  impl_->headBytes = RequestHeadBytes(
    impl_->request.head, impl_->request.body ? impl_->request.body->size() : 0);
  impl_->ExpectBody();
  if (impl_->phase == Impl::Phase::kNew) {
    impl_->Connect();
    return;
  }
  impl_->Write();
  impl_->Read();
}

void HttpConnection::ReadArrived()
{
  impl_->ReadArrived();
}

void HttpConnection::SetIdleEndHandler(std::function<void()> aHandler)
{
  impl_->idleEnd = std::move(aHandler);
}

bool HttpConnection::Reusable() const
{
  return impl_->reusable;
}

bool HttpConnection::Unambiguous() const
{
  return !impl_->ambiguous;
}

bool HttpConnection::Quiet() const
{
  if (impl_->phase != Impl::Phase::kOpen) {
    return impl_->phase == Impl::Phase::kNew;
  }
  char byte = 0;
  asio::error_code state;
  impl_->socket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, state);
  return state == asio::error::would_block || state == asio::error::try_again;
}

bool HttpConnection::Busy() const
{
  return static_cast<bool>(impl_->handler);
}

TimePoint HttpConnection::IdleSince() const
{
  return impl_->idleSince;
}

std::optional<Duration> HttpConnection::PeerKeepAlive() const
{
  return impl_->keepAlive;
}

} // namespace lacewing
