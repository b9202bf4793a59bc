#include "fleet/Prober.h"

#include "gateway/ProbeReading.h"
#include "http/HttpCaller.h"

#include <map>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// A healthy target responds within some milliseconds. One that takes this long
// would delay a request as well.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
// The head of a response tells the health; a healthy target sends hardly more.
constexpr ByteCount kMaxProbeBody{ 64U << 10U };

} // namespace

struct Prober::Impl
{
  struct Entry
  {
    ProbeTarget target;
    std::unique_ptr<HttpCaller> caller;
  };

  asio::io_context& context;
  const Clock& clock;
  const HeaderNames names;
  Handler handler;
  std::map<TargetId, Entry> entries;
  std::uint64_t probes = 0;

  void Probe(Entry& aEntry)
  {
    if (!aEntry.caller) {
      ConnectionOptions options;
      options.endpoint = aEntry.target.spec.endpoint;
      options.connectTimeout = kProbeTimeout;
      options.limits.maxBody = kMaxProbeBody;
      aEntry.caller = std::make_unique<HttpCaller>(context, options, clock);
    }
    if (aEntry.caller->Busy()) {
      return;
    }
    ++probes;
    HttpMessage request;
    request.head =
      ProbeHead(aEntry.target.healthPath, aEntry.target.spec.endpoint);
    aEntry.caller->Call(
      std::move(request),
      kProbeTimeout,
      [this, id = aEntry.target.spec.id](const ExchangeResult& aResult) {
        handler(ReadProbe(aResult, names, id, clock.Now()));
      });
  }
};

Prober::Prober(asio::io_context& aContext,
               const Clock& aClock,
               const HeaderNames& aNames,
               Handler aHandler)
  : impl_(new Impl{ aContext, aClock, aNames, std::move(aHandler), {}, 0 })
{
}

Prober::~Prober() = default;

void Prober::SetTargets(const std::vector<ProbeTarget>& aTargets)
{
  std::map<TargetId, Impl::Entry> entries;
  for (const ProbeTarget& target : aTargets) {
    Impl::Entry& entry = entries[target.spec.id];
    const auto held = impl_->entries.find(target.spec.id);
    if (held != impl_->entries.end() &&
        held->second.target.spec.incarnation == target.spec.incarnation &&
        held->second.target.spec.endpoint == target.spec.endpoint) {
      entry.caller = std::move(held->second.caller);
    }
    entry.target = target;
  }
  impl_->entries = std::move(entries);
}

void Prober::ProbeAll()
{
  for (auto& [id, entry] : impl_->entries) {
    impl_->Probe(entry);
  }
}

std::size_t Prober::TargetCount() const
{
  return impl_->entries.size();
}

std::uint64_t Prober::ProbeCount() const
{
  return impl_->probes;
}

} // namespace lacewing
