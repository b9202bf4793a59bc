#ifndef NET_METEREDSOCKETPRIV_H
#define NET_METEREDSOCKETPRIV_H

#include "net/ReadMeterPriv.h"

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <memory>
#include <utility>

namespace lacewing {

/**
 * Carries the meter of a connection from the notice of its acceptance to its
 * socket, whose first read follows in the same call.
 */
class AcceptedMeter : public asio::execution_context::service
{
public:
  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit AcceptedMeter(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }

  std::shared_ptr<ReadMeter> meter;

private:
  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override { meter.reset(); }
};

/** A socket whose reads are counted by a ReadMeter. */
class MeteredSocket : public asio::ip::tcp::socket
{
public:
  explicit MeteredSocket(asio::io_context& aContext)
    : asio::ip::tcp::socket(aContext)
    , context_(&aContext)
  {
  }

  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  template<class Buffers, class Handler>
  void async_read_some(const Buffers& aBuffers, Handler aHandler)
  {
    if (!meter_) {
      meter_ =
        std::exchange(asio::use_service<AcceptedMeter>(*context_).meter, {});
    }
    if (!meter_) {
      asio::ip::tcp::socket::async_read_some(aBuffers, std::move(aHandler));
      return;
    }
    const auto executor = asio::get_associated_executor(aHandler);
    asio::ip::tcp::socket::async_read_some(
      aBuffers,
      asio::bind_executor(
        executor,
        [this, meter = meter_, aBuffers, handler = std::move(aHandler)](
          const asio::error_code& aError, std::size_t aLength) mutable {
          if (aError || meter->OnRead(ByteCount(aLength))) {
            parsing_ = !aError;
            handler(aError, aLength);
            parsing_ = false;
            return;
          }
          asio::error_code ignored;
          asio::write(*this, asio::buffer(meter->Refusal()), ignored);
          shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
          Discard(aBuffers, std::move(handler), 0);
        }));
  }

  /**
   * RESTinio closes a connection without an answer when it cannot parse a
   * request or the request exceeds a limit; the answer is sent here.
   */
  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown(shutdown_type aWhat, asio::error_code& aError)
  {
    if (std::exchange(parsing_, false)) {
      asio::error_code ignored;
      asio::write(*this, asio::buffer(meter_->Malformed()), ignored);
    }
    asio::ip::tcp::socket::shutdown(aWhat, aError);
  }

private:
  /**
   * Reads on without keeping anything: closing with unread bytes would reset
   * the connection, and the caller could lose the refusal.
   */
  template<class Buffers, class Handler>
  void Discard(const Buffers& aBuffers,
               Handler aHandler,
               std::size_t aDiscarded)
  {
    constexpr std::size_t kMostDiscarded = 32U << 20U;
    const auto executor = asio::get_associated_executor(aHandler);
    asio::ip::tcp::socket::async_read_some(
      aBuffers,
      asio::bind_executor(
        executor,
        [this, aBuffers, handler = std::move(aHandler), aDiscarded](
          const asio::error_code& aError, std::size_t aLength) mutable {
          if (aError || aDiscarded > kMostDiscarded) {
            handler(aError ? aError : asio::error::no_buffer_space, 0);
            return;
          }
          Discard(aBuffers, std::move(handler), aDiscarded + aLength);
        }));
  }

  asio::io_context* context_;
  std::shared_ptr<ReadMeter> meter_;
  /** RESTinio parses what was just read. */
  bool parsing_ = false;
};

} // namespace lacewing

#endif // NET_METEREDSOCKETPRIV_H
