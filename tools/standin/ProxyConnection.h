#ifndef STANDIN_PROXYCONNECTION_H
#define STANDIN_PROXYCONNECTION_H

#include "standin/ProxyLink.h"

#include <memory>

namespace lacewing {

/** A relayed connection with its two directions. */
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  ProxyConnection(const Clock& aClock,
                  asio::ip::tcp::socket aCaller,
                  LinkState& aUp,
                  LinkState& aDown);

  /** Sets what is called once when the connection has closed. */
  void OnClosed(std::function<void()> aHandler);

  /** Connects to aTo and then carries bytes. */
  void Start(const asio::ip::tcp::endpoint& aTo);

  void Close();

  ProxyLink& Up() { return *up_; }
  ProxyLink& Down() { return *down_; }

private:
  void OnLinkEnd();

  ProxyLink::Socket caller_;
  ProxyLink::Socket server_;
  std::function<void()> closed_;
  std::shared_ptr<ProxyLink> up_;
  std::shared_ptr<ProxyLink> down_;
};

} // namespace lacewing

#endif // STANDIN_PROXYCONNECTION_H
