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
  bool registrationDue = false;
  bool listDue = false;
  /** A call to the store is running; the source takes one at a time. */
  bool calling = false;

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

  /** Starts the call that is due next, unless one is running. */
  void Continue()
  {
    if (calling) {
      return;
    }
    if (registrationDue) {
      Register();
    } else if (listDue && registered) {
      List();
    }
  }

  void Register()
  {
    registrationStarted = true;
    registrationDue = false;
    calling = true;
    source.RegisterHost(identity.self,
                        [self = weak_from_this()](const Outcome<void>& aDone) {
                          if (const auto impl = self.lock()) {
                            impl->OnRegistered(aDone);
                          }
                        });
  }

  void OnRegistered(const Outcome<void>& aDone)
  {
    calling = false;
    if (!aDone) {
      registrationDue = true;
      RetryLater(aDone.error());
      return;
    }
    registered = true;
    Continue();
  }

  void List()
  {
    calling = true;
    source.ListHosts([self = weak_from_this()](
                       const Outcome<std::vector<PeerAddress>>& aHosts) {
      if (const auto impl = self.lock()) {
        impl->OnListed(aHosts);
      }
    });
  }

  void OnListed(const Outcome<std::vector<PeerAddress>>& aHosts)
  {
    calling = false;
    if (!aHosts) {
      RetryLater(aHosts.error());
      return;
    }
    listDue = false;
    const std::vector<PeerAddress>& hosts = aHosts.value();
    Log(LogLevel::kInfo,
        "list-hosts",
        { { "hosts", std::to_string(hosts.size()) } });
    handler(hosts);
    Continue();
  }

  void RetryLater(const Error& aError)
  {
    Log(
      LogLevel::kWarning, "host-directory", { { "error", aError.ToString() } });
    timer.Arm(kRetryDelay, [self = weak_from_this()] {
      if (const auto impl = self.lock()) {
        impl->Continue();
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
  impl_->listDue = true;
  RegisterSelf();
  impl_->Continue();
}

void HostDirectory::RegisterSelf()
{
  if (!impl_->registrationStarted) {
    impl_->registrationDue = true;
    impl_->Continue();
  }
}

void HostDirectory::RegisterAgain()
{
  if (impl_->registrationStarted) {
    impl_->registrationDue = true;
    impl_->Continue();
  }
}

} // namespace lacewing
