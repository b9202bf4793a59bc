#include "gateway/CallerSession.h"

#include "core/Log.h"
#include "gateway/LocalResponse.h"
#include "gateway/RequestDeadline.h"
#include "gateway/UnansweredCount.h"
#include "http/AsyncRead.h"
#include "http/SocketOptions.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace lacewing {

namespace {

// Bytes of further requests that are read while one is in progress; beyond it
// nothing more is read until that request has ended.
constexpr std::size_t kMaxPending = 64U << 10U;
// Time for a caller to read the last response before the connection closes.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// The connection closes if the caller has not read the response by then.
constexpr Duration kWriteTimeout = std::chrono::seconds(20);

// Bodies that fill the memory are read within about this time.
constexpr Duration kNoMemoryRetryAfter = std::chrono::milliseconds(500);

LocalResponseKind LocalResponseFor(ParseFailure aFailure)
{
  switch (aFailure) {
    case ParseFailure::kHeadTooLarge:
      return LocalResponseKind::kHeadTooLarge;
    case ParseFailure::kBodyTooLarge:
      return LocalResponseKind::kBodyTooLarge;
    case ParseFailure::kNoMemory:
      return LocalResponseKind::kRefused;
    case ParseFailure::kNone:
    case ParseFailure::kMalformed:
      return LocalResponseKind::kMalformed;
  }
  return LocalResponseKind::kMalformed;
}

bool HasOneHost(const HttpHead& aHead)
{
  int hosts = 0;
  for (const HttpField& field : aHead.fields) {
    hosts += SameFieldName(field.name, "Host") ? 1 : 0;
  }
  return hosts == 1;
}

} // namespace

CallerSession::CallerSession(TrafficState& aState,
                             asio::ip::tcp::socket aSocket,
                             std::function<void(CallerSession*)> aOnClosed)
  : state_(aState)
  , socket_(std::move(aSocket))
  , onClosed_(std::move(aOnClosed))
  , timer_(aState.Context())
  , idleSince_(aState.Now())
  , parser_(MessageSide::kRequest, ParserLimits())
  , writer_(socket_)
{
}

CallerLimits CallerSession::Limits() const
{
  const auto fleet = state_.Fleet();
  return fleet->routes ? fleet->routes->Limits() : CallerLimits();
}

void CallerSession::Start()
{
  ++state_.Counters().connections;
  SetStreamOptions(socket_);
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  ArmReadTimer();
  Read();
}

/** Applies the limits in force at a request's first byte. */
void CallerSession::SetParserLimits()
{
  const CallerLimits limits = Limits();
  parser_.SetLimits({ limits.maxHead, limits.maxBody, state_.Buffers() });
}

void CallerSession::ArmTimer(Duration aAfter,
                             void (CallerSession::*aOnTimeout)())
{
  timer_.Arm(aAfter, [self = weak_from_this(), aOnTimeout] {
    if (const auto session = self.lock()) {
      (session.get()->*aOnTimeout)();
    }
  });
}

/** Arms the idle timeout until a head's first byte, then the head timeout. */
void CallerSession::ArmReadTimer()
{
  const CallerLimits limits = Limits();
  headTimerArmed_ = parser_.Started();
  if (headTimerArmed_) {
    ArmTimer(limits.headTimeout, &CallerSession::OnHeadTimeout);
  } else {
    ArmTimer(idleSince_ + limits.idleTimeout - state_.Now(),
             &CallerSession::OnIdleTimeout);
  }
}

// When a timeout of reading is handled, bytes that came in time may still be
// unread because the thread was busy. They are read before it takes effect.

void CallerSession::OnIdleTimeout()
{
  if (ReadArrived()) {
    return;
  }
  // The limit may have been raised since the timer was armed.
  if (state_.Now() < idleSince_ + Limits().idleTimeout) {
    ArmReadTimer();
    return;
  }
  Close(CloseReason::kIdleTimeout);
}

void CallerSession::OnHeadTimeout()
{
  ReadArrived();
  if (stage_ == Stage::kReading && !parser_.HeadDone()) {
    Log(LogLevel::kInfo,
        "caller",
        { { "closed", "request head not complete in time" } });
    Close(CloseReason::kHeadTimeout);
  }
}

void CallerSession::OnBodyTimeout()
{
  if (!ReadArrived()) {
    Close(CloseReason::kBodyTimeout);
  }
}

void CallerSession::OnWriteTimeout()
{
  Close(CloseReason::kWriteTimeout);
}

void CallerSession::OnLingerTimeout()
{
  Close(CloseReason::kAnswered);
}

void CallerSession::Read()
{
  if (reading_ || callerEnded_ || stage_ == Stage::kClosed ||
      pending_.size() >= kMaxPending) {
    return;
  }
  reading_ = true;
  AsyncRead(socket_,
            [self = shared_from_this()](const asio::error_code& aError,
                                        std::string_view aBytes) {
              self->reading_ = false;
              self->OnRead(aError, aBytes);
            });
}

bool CallerSession::ReadArrived()
{
  ReadBuffer& buffer = ThreadReadBuffer();
  asio::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return false;
  }
  OnRead(error, std::string_view(buffer.data(), count));
  return true;
}

void CallerSession::OnRead(const asio::error_code& aError,
                           std::string_view aBytes)
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  if (aError) {
    OnReadFailed(aError);
    return;
  }
  if (stage_ == Stage::kLingering) {
    Read();
    return;
  }
  pending_.append(aBytes);
  if (stage_ == Stage::kReading) {
    ParsePending();
  }
  Read();
}

void CallerSession::OnReadFailed(const asio::error_code& aError)
{
  const bool ended = aError == asio::error::eof;
  if (ended && stage_ == Stage::kResponding) {
    // A caller may end only its sending side and still read the response. One
    // that is gone makes the write fail.
    callerEnded_ = true;
    keepAlive_ = false;
    if (const std::shared_ptr<Exchange> exchange = exchange_) {
      exchange->OnCallerClosed();
    }
    return;
  }
  if (exchange_) {
    exchange_->Abandon();
  }
  Close(ended ? CloseReason::kCallerClosed : CloseReason::kCallerReset);
}

void CallerSession::ParsePending()
{
  while (stage_ == Stage::kReading && !pending_.empty()) {
    if (!parser_.Started()) {
      // The connection may have been idle across a change of the limits.
      SetParserLimits();
    }
    const std::size_t taken = parser_.Feed(pending_);
    pending_.erase(0, taken);
    if (parser_.Failure() != ParseFailure::kNone) {
      OnParseFailure();
      return;
    }
    if (parser_.Whole()) {
      BeginExchange();
      return;
    }
    if (taken == 0) {
      break;
    }
  }
  if (parser_.HeadDone()) {
    SendContinue();
    // A body may take any time as long as its bytes keep arriving.
    ArmTimer(Limits().idleTimeout, &CallerSession::OnBodyTimeout);
  } else if (parser_.Started() && !headTimerArmed_) {
    ArmReadTimer();
  }
}

void CallerSession::OnParseFailure()
{
  requestedAt_ = state_.Now();
  ++state_.Counters().badRequests;
  keepAlive_ = false;
  const LocalResponseKind kind = LocalResponseFor(parser_.Failure());
  const bool refused = kind == LocalResponseKind::kRefused;
  Respond(MakeLocalResponse(
    kind,
    {},
    {},
    refused ? std::optional<Duration>(kNoMemoryRetryAfter) : std::nullopt));
}

/** Sends 100 Continue to a caller that waits for it before sending the body. */
void CallerSession::SendContinue()
{
  if (continueSent_ || parser_.Head().fields.Find("Expect") == nullptr) {
    return;
  }
  continueSent_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
    socket_,
    asio::buffer(kContinue),
    [self = shared_from_this()](const asio::error_code&, std::size_t) {
      // A failed write is detected by the next read.
    });
}

void CallerSession::BeginExchange()
{
  stage_ = Stage::kResponding;
  requestedAt_ = state_.Now();
  timer_.Cancel();
  continueSent_ = false;
  HttpMessage request = parser_.Take();
  keepAlive_ = request.head.keepAlive;
  isHeadRequest_ = request.head.method == "HEAD";
  if (!HasOneHost(request.head)) {
    ++state_.Counters().badRequests;
    keepAlive_ = false;
    Respond(MakeLocalResponse(LocalResponseKind::kMalformed));
    return;
  }
  exchange_ = std::make_shared<Exchange>(
    state_,
    std::move(request),
    [self = weak_from_this()](HttpMessage aResponse) {
      if (const auto session = self.lock()) {
        session->Respond(std::move(aResponse));
      }
    });
  // Start may call the handler, which resets exchange_; this copy keeps the
  // exchange alive until Start returns.
  const std::shared_ptr<Exchange> exchange = exchange_;
  requestId_ = exchange->Id();
  exchange->Start();
}

void CallerSession::Respond(HttpMessage aResponse)
{
  exchange_.reset();
  if (stage_ == Stage::kClosed) {
    return;
  }
  stage_ = Stage::kResponding;
  keepAlive_ = keepAlive_ && !state_.Draining();
  aResponse.head.keepAlive = keepAlive_;
  ArmTimer(kWriteTimeout, &CallerSession::OnWriteTimeout);
  writer_.Write(std::move(aResponse),
                isHeadRequest_,
                [self = shared_from_this()](const asio::error_code& aError) {
                  self->OnWritten(aError);
                });
}

void CallerSession::OnWritten(const asio::error_code& aError)
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  if (aError) {
    Close(CloseReason::kCallerReset);
    return;
  }
  served_ = true;
  if (callerEnded_) {
    // The response is written, so the close leaves nothing unanswered.
    stage_ = Stage::kLingering;
    Close(CloseReason::kAnswered);
    return;
  }
  if (!keepAlive_) {
    Linger();
    return;
  }
  stage_ = Stage::kReading;
  requestId_.clear();
  idleSince_ = state_.Now();
  ArmReadTimer();
  ParsePending();
  Read();
}

/**
 * Discards what still arrives before closing. Closing with unread bytes resets
 * the connection, and the caller could lose the response.
 */
void CallerSession::Linger()
{
  stage_ = Stage::kLingering;
  pending_.clear();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTime, &CallerSession::OnLingerTimeout);
  Read();
}

bool CallerSession::Busy() const
{
  if (stage_ == Stage::kResponding) {
    return true;
  }
  asio::error_code ignored;
  return stage_ == Stage::kReading && (parser_.Started() || !pending_.empty() ||
                                       socket_.available(ignored) > 0);
}

void CallerSession::CloseIfIdle()
{
  if (stage_ == Stage::kReading && !Busy()) {
    Linger();
  }
}

void CallerSession::EndDrain()
{
  if (stage_ == Stage::kReading) {
    ReadArrived();
  }
  if (served_) {
    CloseIfIdle();
  }
}

void CallerSession::RecordUnanswered(CloseReason aReason)
{
  ++(state_.Counters().*UnansweredCounterOf(aReason));
  const bool callerGone = aReason == CloseReason::kCallerClosed ||
                          aReason == CloseReason::kCallerReset;
  Log(callerGone ? LogLevel::kInfo : LogLevel::kWarning,
      "unanswered",
      { { "request", requestId_ },
        { "reason", ToString(aReason) },
        { "writing", writer_.Writing() ? "1" : "0" },
        { "ms", MillisecondsText(state_.Now() - requestedAt_) } });
}

void CallerSession::Close(CloseReason aReason)
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  if (stage_ == Stage::kResponding) {
    RecordUnanswered(aReason);
  }
  stage_ = Stage::kClosed;
  timer_.Cancel();
  exchange_.reset();
  asio::error_code ignored;
  socket_.close(ignored);
  onClosed_(this);
}

} // namespace lacewing
