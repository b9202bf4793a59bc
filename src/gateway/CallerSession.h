#ifndef GATEWAY_CALLERSESSION_H
#define GATEWAY_CALLERSESSION_H

#include "core/OneShotTimer.h"
#include "gateway/CloseReason.h"
#include "gateway/Exchange.h"
#include "gateway/ResponseWriter.h"
#include "gateway/TrafficState.h"
#include "http/MessageParser.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/**
 * One caller's connection: reads requests one after the other, and detects when
 * the caller disconnects while a request is in progress.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(TrafficState& aState,
                asio::ip::tcp::socket aSocket,
                std::function<void(CallerSession*)> aOnClosed);

  void Start();

  /** Closes the connection if no request is in progress or partly read. */
  void CloseIfIdle();

  /**
   * At a drain's end: reads what has arrived, and closes the connection if it
   * is idle after a response. The first request of a new connection may still
   * be on its way.
   */
  void EndDrain();

  /** Whether a request is in progress, partly read or waits to be read. */
  bool Busy() const;

  /** Whether a request is in progress or its response is being written. */
  bool Responding() const { return stage_ == Stage::kResponding; }

  /** The last response is written, or the connection is closed. */
  bool Ended() const
  {
    return stage_ == Stage::kLingering || stage_ == Stage::kClosed;
  }

  /** Closes at once; logs and counts a request that is left unanswered. */
  void Close(CloseReason aReason);

private:
  enum class Stage
  {
    kReading,
    kResponding,
    /** The last response is sent; bytes that still arrive are discarded. */
    kLingering,
    kClosed,
  };

  void Read();
  /** Handles the bytes that have arrived; false if there are none. */
  bool ReadArrived();
  void OnRead(const asio::error_code& aError, std::string_view aBytes);
  void OnReadFailed(const asio::error_code& aError);
  void ParsePending();
  void OnParseFailure();
  void SendContinue();
  void BeginExchange();
  void Respond(HttpMessage aResponse);
  void OnWritten(const asio::error_code& aError);
  void Linger();
  /** Calls aOnTimeout after aAfter, in place of what was armed before. */
  void ArmTimer(Duration aAfter, void (CallerSession::*aOnTimeout)());
  void ArmReadTimer();
  void OnIdleTimeout();
  void OnHeadTimeout();
  void OnBodyTimeout();
  void OnWriteTimeout();
  void OnLingerTimeout();
  void RecordUnanswered(CloseReason aReason);
  CallerLimits Limits() const;
  void SetParserLimits();

  TrafficState& state_;
  asio::ip::tcp::socket socket_;
  std::function<void(CallerSession*)> onClosed_;
  /** The timeout of the current stage; each stage arms its own. */
  OneShotTimer timer_;
  /** When the connection was opened or its last response was written. */
  TimePoint idleSince_;
  MessageParser parser_;
  /** Bytes received after the end of the request in progress. */
  std::string pending_;
  std::shared_ptr<Exchange> exchange_;
  /** The id of the request in progress; empty if it has none. */
  std::string requestId_;
  /** When the request in progress was read completely. */
  TimePoint requestedAt_;
  ResponseWriter writer_;
  Stage stage_ = Stage::kReading;
  bool reading_ = false;
  /** At least one response was written. */
  bool served_ = false;
  bool continueSent_ = false;
  bool keepAlive_ = true;
  bool isHeadRequest_ = false;
  bool headTimerArmed_ = false;
  /** The caller has ended its sending side; nothing more can be read. */
  bool callerEnded_ = false;
};

} // namespace lacewing

#endif // GATEWAY_CALLERSESSION_H
