#include "standin/ProxyPair.h"

#include <utility>
#include <vector>

namespace lacewing {

namespace {

asio::ip::tcp::endpoint ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address_v4(aEndpoint.address), aEndpoint.port };
}

} // namespace

ProxyPair::ProxyPair(asio::io_context& aContext,
                     const Clock& aClock,
                     const Endpoint& aListen,
                     const Endpoint& aTo)
  : clock_(aClock)
  , listen_(aListen)
  , to_(aTo)
  , acceptor_(aContext)
{
}

ProxyPair::~ProxyPair()
{
  Cut();
}

Outcome<std::unique_ptr<ProxyPair>> ProxyPair::Make(asio::io_context& aContext,
                                                    const Clock& aClock,
                                                    const Endpoint& aListen,
                                                    const Endpoint& aTo)
{
  std::unique_ptr<ProxyPair> pair(
    new ProxyPair(aContext, aClock, aListen, aTo));
  BOOST_OUTCOME_TRY(pair->SetRefusing(false));
  return pair;
}

Outcome<void> ProxyPair::SetRefusing(bool aRefuse)
{
  asio::error_code error;
  if (aRefuse) {
    acceptor_.close(error);
    return outcome::success();
  }
  if (acceptor_.is_open()) {
    return outcome::success();
  }
  const asio::ip::tcp::endpoint endpoint = ToAsio(listen_);
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    asio::error_code ignored;
    acceptor_.close(ignored);
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + listen_.ToString() + ": " +
                  error.message(),
                "choose an address of this host and a free port");
  }
  Accept();
  return outcome::success();
}

void ProxyPair::Accept()
{
  acceptor_.async_accept([this](const asio::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      const auto connection =
        std::make_shared<ProxyConnection>(clock_, std::move(aSocket), up, down);
      connection->OnClosed(
        [this, weak = std::weak_ptr<ProxyConnection>(connection)] {
          connections_.erase(weak.lock());
        });
      connections_.insert(connection);
      connection->Start(ToAsio(to_));
    }
    Accept();
  });
}

ProxyLink& ProxyPair::LinkOf(ProxyConnection& aConnection,
                             LinkState ProxyPair::*aDirection)
{
  return aDirection == &ProxyPair::up ? aConnection.Up() : aConnection.Down();
}

void ProxyPair::SetFaults(LinkState ProxyPair::*aDirection,
                          const LinkFaults& aFaults)
{
  LinkState& state = this->*aDirection;
  state.faults = aFaults;
  ++state.changes;
  const std::vector<std::shared_ptr<ProxyConnection>> open(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : open) {
    LinkOf(*connection, aDirection).Pump();
  }
}

void ProxyPair::HalfClose(LinkState ProxyPair::*aDirection)
{
  const std::vector<std::shared_ptr<ProxyConnection>> open(connections_.begin(),
                                                           connections_.end());
  for (const auto& connection : open) {
    LinkOf(*connection, aDirection).HalfClose();
  }
}

void ProxyPair::Cut()
{
  while (!connections_.empty()) {
    const std::shared_ptr<ProxyConnection> connection = *connections_.begin();
    connection->Close();
  }
}

} // namespace lacewing
