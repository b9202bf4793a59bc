#ifndef STANDIN_PROXYPAIR_H
#define STANDIN_PROXYPAIR_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"
#include "standin/LinkState.h"
#include "standin/ProxyConnection.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace lacewing {

/** Relays the connections of one address to another. */
class ProxyPair
{
public:
  static Outcome<std::unique_ptr<ProxyPair>> Make(asio::io_context& aContext,
                                                  const Clock& aClock,
                                                  const Endpoint& aListen,
                                                  const Endpoint& aTo);
  ~ProxyPair();
  ProxyPair(const ProxyPair&) = delete;
  ProxyPair& operator=(const ProxyPair&) = delete;

  const Endpoint& ListenEndpoint() const { return listen_; }
  std::size_t Connections() const { return connections_.size(); }

  void SetFaults(LinkState ProxyPair::*aDirection, const LinkFaults& aFaults);

  /** Ends the direction of every open connection for its receiver. */
  void HalfClose(LinkState ProxyPair::*aDirection);

  /** Closes both sides of every open connection. */
  void Cut();

  /** New connections are refused while aRefuse holds. */
  Outcome<void> SetRefusing(bool aRefuse);
  bool Refusing() const { return !acceptor_.is_open(); }

  /** From the connecting side to the listening one, and back. */
  LinkState up;
  LinkState down;

private:
  ProxyPair(asio::io_context& aContext,
            const Clock& aClock,
            const Endpoint& aListen,
            const Endpoint& aTo);

  void Accept();
  ProxyLink& LinkOf(ProxyConnection& aConnection,
                    LinkState ProxyPair::*aDirection);

  const Clock& clock_;
  const Endpoint listen_;
  const Endpoint to_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<ProxyConnection>> connections_;
};

} // namespace lacewing

#endif // STANDIN_PROXYPAIR_H
