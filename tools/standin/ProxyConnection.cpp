#include "standin/ProxyConnection.h"

#include <utility>

namespace lacewing {

ProxyConnection::ProxyConnection(const Clock& aClock,
                                 asio::ip::tcp::socket aCaller,
                                 LinkState& aUp,
                                 LinkState& aDown)
  : caller_(std::make_shared<asio::ip::tcp::socket>(std::move(aCaller)))
  , server_(std::make_shared<asio::ip::tcp::socket>(caller_->get_executor()))
  , up_(std::make_shared<ProxyLink>(aClock,
                                    caller_,
                                    server_,
                                    aUp,
                                    [this] { OnLinkEnd(); }))
  , down_(std::make_shared<ProxyLink>(aClock, server_, caller_, aDown, [this] {
    OnLinkEnd();
  }))
{
}

void ProxyConnection::OnClosed(std::function<void()> aHandler)
{
  closed_ = std::move(aHandler);
}

void ProxyConnection::Start(const asio::ip::tcp::endpoint& aTo)
{
  server_->async_connect(
    aTo, [self = shared_from_this()](const asio::error_code& aError) {
      if (aError || !self->caller_->is_open()) {
        self->Close();
        return;
      }
      const asio::ip::tcp::no_delay noDelay(true);
      asio::error_code ignored;
      self->caller_->set_option(noDelay, ignored);
      self->server_->set_option(noDelay, ignored);
      self->up_->Start();
      self->down_->Start();
    });
}

void ProxyConnection::Close()
{
  asio::error_code ignored;
  caller_->close(ignored);
  server_->close(ignored);
  up_->Stop();
  down_->Stop();
  if (const auto closed = std::exchange(closed_, nullptr)) {
    closed();
  }
}

void ProxyConnection::OnLinkEnd()
{
  const bool open = caller_->is_open() && server_->is_open();
  if (!open || (up_->Ended() && down_->Ended())) {
    Close();
  }
}

} // namespace lacewing
