#include "soak/HalfClosingExchange.h"

#include "core/OneShotTimer.h"
#include "http/AsyncRead.h"
#include "http/MessageBytes.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace lacewing {

namespace {

// A host has usually sent the request by then, and the server is still at work,
// which takes 20 ms. Before it is sent, the end
// of the sending side cancels it.
constexpr Duration kEndDelay = std::chrono::milliseconds(10);

std::string BytesOf(const OutgoingRequest& aRequest)
{
  const std::string body = aRequest.body ? *aRequest.body : std::string();
  return RequestHeadBytes(aRequest.head, body.size()) + body;
}

} // namespace

HalfClosingExchange::HalfClosingExchange(asio::io_context& aContext,
                                         const OutgoingRequest& aRequest,
                                         Handler aHandler)
  : context_(aContext)
  , socket_(aContext)
  , bytes_(BytesOf(aRequest))
  , handler_(std::move(aHandler))
  , parser_(MessageSide::kAnswer, ParserLimits())
{
}

void HalfClosingExchange::Start(const Endpoint& aHost)
{
  socket_.async_connect(
    { asio::ip::make_address(aHost.address), aHost.port },
    [self = shared_from_this()](const asio::error_code& aError) {
      if (aError) {
        self->Finish(ExchangeEnd::kNotSent);
        return;
      }
      asio::error_code ignored;
      self->socket_.non_blocking(true, ignored);
      self->Write();
      self->Read();
    });
}

void HalfClosingExchange::Abandon()
{
  handler_ = nullptr;
  asio::error_code ignored;
  socket_.close(ignored);
}

void HalfClosingExchange::Write()
{
  asio::async_write(
    socket_,
    asio::buffer(bytes_),
    [self = shared_from_this()](const asio::error_code&, std::size_t) {
      // A failed write is detected by the next read.
      OneShotTimer::RunAfter(self->context_, kEndDelay, [self] {
        asio::error_code ignored;
        self->socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      });
    });
}

void HalfClosingExchange::Read()
{
  AsyncRead(socket_,
            [self = shared_from_this()](const asio::error_code& aError,
                                        std::string_view aBytes) {
              self->OnRead(aError, aBytes);
            });
}

void HalfClosingExchange::OnRead(const asio::error_code& aError,
                                 std::string_view aBytes)
{
  if (!handler_) {
    return;
  }
  if (aError) {
    Finish(ExchangeEnd::kLost);
    return;
  }
  parser_.Feed(aBytes);
  if (parser_.Failure() != ParseFailure::kNone) {
    Finish(ExchangeEnd::kMalformed);
  } else if (parser_.Whole()) {
    Finish(ExchangeEnd::kAnswered);
  } else {
    Read();
  }
}

void HalfClosingExchange::Finish(ExchangeEnd aEnd)
{
  asio::error_code ignored;
  socket_.close(ignored);
  const Handler handler = std::exchange(handler_, nullptr);
  if (!handler) {
    return;
  }
  ExchangeResult result;
  result.end = aEnd;
  if (aEnd == ExchangeEnd::kAnswered) {
    result.answer = parser_.Take();
  }
  handler(result);
}

} // namespace lacewing
