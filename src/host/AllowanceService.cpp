#include "host/AllowanceService.h"

#include "fleet/PeerSocket.h"
#include "quota/AllowanceExchange.h"

#include <utility>

namespace lacewing {

struct AllowanceService::Impl
{
  std::unique_ptr<PeerSocket> socket;
  std::unique_ptr<AllowanceExchange> exchange;
};

AllowanceService::AllowanceService(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

AllowanceService::~AllowanceService() = default;

Outcome<std::unique_ptr<AllowanceService>> AllowanceService::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const AllowanceOptions& aOptions,
  const HostIdentity& aIdentity,
  Links aLinks)
{
  auto made = std::make_unique<Impl>();
  Impl* const impl = made.get();
  const std::uint16_t port = aOptions.port;
  BOOST_OUTCOME_TRY(impl->socket,
                    PeerSocket::Make(aContext,
                                     { aIdentity.self.address, port },
                                     [impl](std::string_view aBytes) {
                                       impl->exchange->OnDatagram(aBytes);
                                     }));
  AllowanceExchange::Links links;
  links.answer = std::move(aLinks.answer);
  links.view = std::move(aLinks.view);
  links.send = [impl, port](const HostAddress& aTo, const std::string& aBytes) {
    impl->socket->Send({ aTo.address, port }, aBytes);
  };
  impl->exchange = std::make_unique<AllowanceExchange>(
    aContext,
    aClock,
    aOptions,
    HostAddress{ aIdentity.self.host, aIdentity.self.address },
    aIdentity.incarnation,
    std::move(links));
  return std::unique_ptr<AllowanceService>(
    new AllowanceService(std::move(made)));
}

void AllowanceService::Tick(const std::shared_ptr<const RouteTable>& aRoutes)
{
  impl_->exchange->Tick(aRoutes);
}

void AllowanceService::OnAsk(const AllowanceAsk& aAsk)
{
  impl_->exchange->OnAsk(aAsk);
}

std::string AllowanceService::MetricsText() const
{
  return impl_->exchange->MetricsText();
}

} // namespace lacewing
