#include "quota/AllowanceExchange.h"

#include "core/Log.h"
#include "core/OneShotTimer.h"
#include "quota/AllowanceHosts.h"
#include "quota/AllowanceLedger.h"
#include "quota/AllowanceMessage.h"
#include "quota/AllowanceMetrics.h"
#include "quota/AllowanceRequester.h"
#include "quota/DeferredLog.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lacewing {

struct AllowanceExchange::Impl
{
  const Clock& clock;
  const AllowanceOptions options;
  const Links links;
  OneShotTimer timer;
  std::optional<TimePoint> armedAt;
  std::shared_ptr<const RouteTable> routes;
  std::vector<CustomerLimit> limits;
  AllowanceHosts hosts;
  AllowanceLedger ledger;
  AllowanceRequester requester;
  DeferredLog deferredLog;
  std::mt19937_64 random;
  std::uint64_t decided = 0;
  std::uint64_t decodeErrors = 0;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const AllowanceOptions& aOptions,
       HostAddress aSelf,
       Incarnation aIncarnation,
       Links aLinks)
    : clock(aClock)
    , options(aOptions)
    , links(std::move(aLinks))
    , timer(aContext)
    , hosts(std::move(aSelf))
    , ledger(aClock.Now())
    // An incarnation is a time in microseconds, which is larger than any
    // sequence of an earlier run.
    , requester(hosts.Self(),
                AllowanceSequence(aIncarnation.value()),
                RequesterLinks())
    , random(aIncarnation.value())
  {
  }

  AllowanceLinks RequesterLinks()
  {
    AllowanceLinks made;
    made.send = [this](const HostAddress& aTo,
                       const AllowanceRequest& aRequest) {
      SendRequest(aTo, aRequest);
    };
    made.answer = links.answer;
    made.ownerOf = [this](const CustomerId& aCustomer) {
      return hosts.OwnerOf(aCustomer);
    };
    made.limitOf = [this](const CustomerId& aCustomer) {
      const CustomerSpec* spec = routes ? routes->Customer(aCustomer) : nullptr;
      return spec == nullptr ? RateLimit() : spec->limit;
    };
    made.hosts = [this] { return hosts.Total(); };
    made.draw = [this] {
      return std::uniform_real_distribution<double>(0, 1)(random);
    };
    return made;
  }

  void Tick(const std::shared_ptr<const RouteTable>& aRoutes)
  {
    const TimePoint now = clock.Now();
    const bool newRoutes = aRoutes != routes;
    if (newRoutes) {
      routes = aRoutes;
      ReadLimits();
    }
    if (limits.empty() && ledger.Owned() == 0) {
      return;
    }
    ledger.Advance(now);
    const bool changed = hosts.Update(links.view()) || newRoutes;
    if (changed) {
      UpdateOwned(now);
    }
  }

  void ReadLimits()
  {
    limits.clear();
    if (!routes) {
      return;
    }
    for (const CustomerSpec& customer : routes->Customers()) {
      if (customer.limit.IsSet()) {
        RateLimit limit = customer.limit;
        limit.perSecond *= options.RateFactor();
        limit.burst = options.CapacityFor(limit);
        limits.push_back({ customer.id, limit });
      }
    }
  }

  void UpdateOwned(TimePoint aNow)
  {
    std::vector<CustomerLimit> owned;
    for (const CustomerLimit& limit : limits) {
      if (hosts.Owns(limit.customer)) {
        owned.push_back(limit);
      }
    }
    const std::size_t before = ledger.Owned();
    ledger.SetOwned(owned, hosts.Share(), aNow);
    if (before != owned.size()) {
      Log(LogLevel::kInfo,
          "allowance",
          { { "owned", std::to_string(owned.size()) },
            { "before", std::to_string(before) },
            { "customers", std::to_string(limits.size()) },
            { "share", std::to_string(hosts.Share()) } });
    }
  }

  void SendRequest(const HostAddress& aTo, const AllowanceRequest& aRequest)
  {
    if (aTo.host != hosts.Self().host) {
      links.send(aTo, EncodeAllowanceMessage(aRequest));
      return;
    }
    if (const auto reply = Decide(aRequest)) {
      requester.OnGrant(*reply, clock.Now());
    }
  }

  std::optional<AllowanceGrant> Decide(const AllowanceRequest& aRequest)
  {
    const TimePoint now = clock.Now();
    auto reply = ledger.OnRequest(aRequest, now);
    if (!reply) {
      return reply;
    }
    if (!reply->owner) {
      const auto owner = hosts.OwnerOf(aRequest.customer);
      if (owner && owner->host != hosts.Self().host) {
        reply->ask = { *owner };
      }
      return reply;
    }
    ++decided;
    if (reply->tokens < aRequest.waiting) {
      deferredLog.OnDeferred(aRequest.customer,
                             (aRequest.waiting - reply->tokens).value(),
                             reply->retryAfter,
                             now);
    }
    return reply;
  }

  void OnDatagram(std::string_view aBytes)
  {
    const auto decoded = DecodeAllowanceMessage(aBytes);
    if (!decoded) {
      ++decodeErrors;
      return;
    }
    if (const auto* grant = std::get_if<AllowanceGrant>(&decoded.value())) {
      requester.OnGrant(*grant, clock.Now());
      ArmTimer();
      return;
    }
    const auto& request = std::get<AllowanceRequest>(decoded.value());
    const auto reply = Decide(request);
    // Nobody waits for the reply to a message that only gives tokens back.
    if (reply && request.waiting > TokenCount(0)) {
      links.send(request.from, EncodeAllowanceMessage(*reply));
    }
  }

  void ArmTimer()
  {
    const auto next = requester.NextTimer();
    if (next == armedAt) {
      return;
    }
    armedAt = next;
    if (!next) {
      timer.Cancel();
      return;
    }
    timer.ArmAt(*next, [this] {
      armedAt.reset();
      requester.OnTimer(clock.Now());
      ArmTimer();
    });
  }
};

AllowanceExchange::AllowanceExchange(asio::io_context& aContext,
                                     const Clock& aClock,
                                     const AllowanceOptions& aOptions,
                                     HostAddress aSelf,
                                     Incarnation aIncarnation,
                                     Links aLinks)
  : impl_(std::make_unique<Impl>(aContext,
                                 aClock,
                                 aOptions,
                                 std::move(aSelf),
                                 aIncarnation,
                                 std::move(aLinks)))
{
}

AllowanceExchange::~AllowanceExchange() = default;

void AllowanceExchange::Tick(const std::shared_ptr<const RouteTable>& aRoutes)
{
  impl_->Tick(aRoutes);
}

void AllowanceExchange::OnAsk(const AllowanceAsk& aAsk)
{
  impl_->requester.OnAsk(aAsk, impl_->clock.Now());
  impl_->ArmTimer();
}

void AllowanceExchange::OnDatagram(std::string_view aBytes)
{
  impl_->OnDatagram(aBytes);
}

std::string AllowanceExchange::MetricsText() const
{
  if (impl_->limits.empty()) {
    return "";
  }
  AllowanceCounters counters = impl_->requester.Counters();
  counters.decided = impl_->decided;
  counters.decodeErrors = impl_->decodeErrors;
  return AllowanceMetricsText(counters, impl_->ledger.Owned());
}

} // namespace lacewing
