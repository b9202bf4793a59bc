#include "fleet/HostDirectory.h"

#include "core/Log.h"
#include "core/OneShotTimer.h"

#include <utility>

namespace lacewing {

namespace {

constexpr Duration kRetryDelay = std::chrono::seconds(1);

} // namespace

struct HostDirectory::Impl : std::enable_shared_from_this<Impl>
{
  const HostIdentity identity;
  CatalogSource& source;
  Handler handler;
  OneShotTimer timer;
  bool registered = false;
  bool registrationStarted = false;
  bool listRequested = false;

  Impl(asio::io_context& aContext,
       const HostIdentity& aIdentity,
       CatalogSource& aSource,
       Handler aHandler)
    : identity(aIdentity)
    , source(aSource)
    , handler(std::move(aHandler))
    , timer(aContext)
  {
  }

  void Register()
  {
    registrationStarted = true;
    source.RegisterHost(identity.self,
                        [self = weak_from_this()](const Outcome<void>& aDone) {
                          if (const auto impl = self.lock()) {
                            impl->OnRegistered(aDone);
                          }
                        });
  }

  void OnRegistered(const Outcome<void>& aDone)
  {
    if (!aDone) {
      RetryLater(aDone.error(), &Impl::Register);
      return;
    }
    registered = true;
    if (listRequested) {
      List();
    }
  }

  void List()
  {
    source.ListHosts([self = weak_from_this()](
                       const Outcome<std::vector<PeerAddress>>& aHosts) {
      if (const auto impl = self.lock()) {
        impl->OnListed(aHosts);
      }
    });
  }

  void OnListed(const Outcome<std::vector<PeerAddress>>& aHosts)
  {
    if (!aHosts) {
      RetryLater(aHosts.error(), &Impl::List);
      return;
    }
    const std::vector<PeerAddress>& hosts = aHosts.value();
    Log(LogLevel::kInfo,
        "list-hosts",
        { { "hosts", std::to_string(hosts.size()) } });
    handler(hosts);
  }

  void RetryLater(const Error& aError, void (Impl::*aStep)())
  {
    Log(
      LogLevel::kWarning, "host-directory", { { "error", aError.ToString() } });
    timer.Arm(kRetryDelay, [self = weak_from_this(), aStep] {
      if (const auto impl = self.lock()) {
        ((*impl).*aStep)();
      }
    });
  }
};

HostDirectory::HostDirectory(asio::io_context& aContext,
                             const HostIdentity& aIdentity,
                             CatalogSource& aSource,
                             Handler aHandler)
  : impl_(
      std::make_shared<Impl>(aContext, aIdentity, aSource, std::move(aHandler)))
{
}

HostDirectory::~HostDirectory() = default;

void HostDirectory::Find()
{
  impl_->listRequested = true;
  if (impl_->registered) {
    impl_->List();
  } else {
    RegisterSelf();
  }
}

void HostDirectory::RegisterSelf()
{
  if (!impl_->registrationStarted) {
    impl_->Register();
  }
}

void HostDirectory::RegisterAgain()
{
  if (impl_->registered) {
    impl_->Register();
  }
}

} // namespace lacewing
