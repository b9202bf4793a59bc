#ifndef NET_WEBSOCKETCONFIGPRIV_H
#define NET_WEBSOCKETCONFIGPRIV_H

#include "net/MessageLimits.h"

#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace lacewing {

/**
 * Settings of websocketpp over one of its basic configurations: everything
 * runs on the io_context's single thread, nothing is logged, and a peer that
 * breaks the protocol is disconnected at once.
 */
template<class Base>
struct WebSocketConfig : public Base
{
  // The names are fixed by websocketpp.
  // NOLINTBEGIN(readability-identifier-naming)
  using type = WebSocketConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;

  struct transport_config : public Base::transport_config
  {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = typename Base::request_type;
    using response_type = typename Base::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
    static const long timeout_connect = 1000;
  };

  using transport_type =
    websocketpp::transport::asio::endpoint<transport_config>;

  static const bool drop_on_protocol_error = true;
  static const size_t max_message_size = kMaxMessageBytes;
  static const long timeout_open_handshake = 2000;
  static const long timeout_close_handshake = 1000;
  // NOLINTEND(readability-identifier-naming)
};

} // namespace lacewing

#endif // NET_WEBSOCKETCONFIGPRIV_H
