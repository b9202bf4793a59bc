#include "gateway/CallerSession.h"

#include "core/Log.h"
#include "gateway/LocalResponse.h"
#include "http/AsyncRead.h"
#include "http/HopFields.h"
#include "http/MessageBytes.h"
#include "http/SocketOptions.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Bytes of further requests that are read ahead while one is in progress; a
// caller that sends more waits.
constexpr std::size_t kMaxPending = 64U << 10U;
// Time for a caller to read a last answer before the connection closes.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// An answer that a caller does not read is dropped after this time.
constexpr Duration kWriteTimeout = std::chrono::seconds(20);

OwnAnswerKind AnswerTo(ParseFailure aFailure)
{
  switch (aFailure) {
    case ParseFailure::kHeadTooLarge:
      return OwnAnswerKind::kHeadTooLarge;
    case ParseFailure::kBodyTooLarge:
      return OwnAnswerKind::kBodyTooLarge;
    case ParseFailure::kNone:
    case ParseFailure::kMalformed:
      return OwnAnswerKind::kMalformed;
  }
  return OwnAnswerKind::kMalformed;
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
  , parser_(MessageSide::kRequest, ParserLimits())
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
  const CallerLimits limits = Limits();
  parser_.SetLimits({ limits.maxHead, limits.maxBody });
  ArmReadTimer();
  Read();
}

void CallerSession::ArmTimer(Duration aAfter)
{
  timer_.expires_after(aAfter);
  timer_.async_wait([self = weak_from_this()](const asio::error_code& aError) {
    const auto session = self.lock();
    if (!aError && session) {
      session->OnTimer();
    }
  });
}

/** Idle time before a head's first byte, the head's time from then on. */
void CallerSession::ArmReadTimer()
{
  const CallerLimits limits = Limits();
  headTimed_ = parser_.Started();
  ArmTimer(headTimed_ ? limits.headTimeout : limits.idleTimeout);
}

void CallerSession::OnTimer()
{
  if (stage_ == Stage::kReading && parser_.Started() && !parser_.HeadDone()) {
    Log(LogLevel::kInfo, "caller", { { "closed", "head not whole in time" } });
  }
  Close();
}

void CallerSession::Read()
{
  if (reading_ || stage_ == Stage::kClosed || pending_.size() >= kMaxPending) {
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

void CallerSession::OnRead(const asio::error_code& aError,
                           std::string_view aBytes)
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  if (aError) {
    if (exchange_) {
      exchange_->Abandon();
    }
    Close();
    return;
  }
  if (stage_ == Stage::kLingering) {
    Read();
    return;
  }
  pending_.append(aBytes);
  if (stage_ == Stage::kReading) {
    Consume();
  }
  Read();
}

void CallerSession::Consume()
{
  while (stage_ == Stage::kReading && !pending_.empty()) {
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
    // A body may take as long as its sender keeps sending.
    ArmTimer(Limits().idleTimeout);
  } else if (parser_.Started() && !headTimed_) {
    ArmReadTimer();
  }
}

void CallerSession::OnParseFailure()
{
  ++state_.Counters().badRequests;
  keepAlive_ = false;
  Answer(MakeOwnAnswer(AnswerTo(parser_.Failure())));
}

/** Tells a caller that waits before it sends the body to go on. */
void CallerSession::SendContinue()
{
  if (continued_ || parser_.Head().fields.Find("Expect") == nullptr) {
    return;
  }
  continued_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
    socket_,
    asio::buffer(kContinue),
    [self = shared_from_this()](const asio::error_code&, std::size_t) {
      // A failed write shows in the next read.
    });
}

void CallerSession::BeginExchange()
{
  stage_ = Stage::kAnswering;
  timer_.cancel();
  continued_ = false;
  HttpMessage request = parser_.Take();
  keepAlive_ = request.head.keepAlive;
  headRequest_ = request.head.method == "HEAD";
  if (!HasOneHost(request.head)) {
    ++state_.Counters().badRequests;
    keepAlive_ = false;
    Answer(MakeOwnAnswer(OwnAnswerKind::kMalformed));
    return;
  }
  exchange_ = std::make_shared<Exchange>(
    state_, std::move(request), [self = weak_from_this()](HttpMessage aAnswer) {
      if (const auto session = self.lock()) {
        session->Answer(std::move(aAnswer));
      }
    });
  // An answer that is known at once ends the exchange within Start.
  const std::shared_ptr<Exchange> exchange = exchange_;
  exchange->Start();
}

void CallerSession::Answer(HttpMessage aAnswer)
{
  exchange_.reset();
  if (stage_ == Stage::kClosed) {
    return;
  }
  stage_ = Stage::kAnswering;
  keepAlive_ = keepAlive_ && !state_.Draining();
  aAnswer.head.keepAlive = keepAlive_;
  aAnswer.head.fields = EndToEndFields(std::move(aAnswer.head.fields));
  outHead_ = AnswerHeadBytes(aAnswer.head, aAnswer.body.size());
  outBody_ = headRequest_ ? std::string() : std::move(aAnswer.body);
  Write();
}

void CallerSession::Write()
{
  writing_ = true;
  ArmTimer(kWriteTimeout);
  const std::vector<asio::const_buffer> parts{ asio::buffer(outHead_),
                                               asio::buffer(outBody_) };
  asio::async_write(
    socket_,
    parts,
    [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
      self->writing_ = false;
      self->OnWritten(aError);
    });
}

void CallerSession::OnWritten(const asio::error_code& aError)
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  outHead_ = std::string();
  outBody_ = std::string();
  if (!keepAlive_) {
    Linger();
    return;
  }
  stage_ = Stage::kReading;
  const CallerLimits limits = Limits();
  parser_.SetLimits({ limits.maxHead, limits.maxBody });
  ArmReadTimer();
  Consume();
  Read();
}

/** Closing with unread bytes would reset the answer away. */
void CallerSession::Linger()
{
  stage_ = Stage::kLingering;
  pending_.clear();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTime);
  Read();
}

void CallerSession::CloseIfIdle()
{
  if (stage_ == Stage::kReading && !parser_.Started() && pending_.empty()) {
    Linger();
  }
}

void CallerSession::Close()
{
  if (stage_ == Stage::kClosed) {
    return;
  }
  stage_ = Stage::kClosed;
  timer_.cancel();
  exchange_.reset();
  asio::error_code ignored;
  socket_.close(ignored);
  onClosed_(this);
}

} // namespace lacewing
