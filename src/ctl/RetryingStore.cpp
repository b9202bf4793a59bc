#include "ctl/RetryingStore.h"

#include "core/OneShotTimer.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lacewing {

namespace {

constexpr std::chrono::milliseconds kFirstBackOff{ 20 };
// Limits the calls to a store that is down to a few a second.
constexpr std::chrono::milliseconds kLongestBackOff{ 500 };

/** The call had no effect. */
bool HadNoEffect(ErrorKind aKind)
{
  return aKind == ErrorKind::kUnavailable || aKind == ErrorKind::kRateLimited;
}

bool MayPass(ErrorKind aKind)
{
  return HadNoEffect(aKind) || aKind == ErrorKind::kTimeout;
}

} // namespace

RetryingStore::RetryingStore(asio::io_context& aContext,
                             const Clock& aClock,
                             ObjectStore& aStore,
                             std::mt19937_64& aRandom,
                             TimePoint aDeadline)
  : context_(aContext)
  , clock_(aClock)
  , store_(aStore)
  , random_(aRandom)
  , deadline_(aDeadline)
{
}

template<class Call, class Handler>
void RetryingStore::Run(Call aCall,
                        bool (*aMayRepeat)(ErrorKind),
                        Handler aHandler,
                        std::chrono::milliseconds aBackOff)
{
  aCall([this, aCall, aMayRepeat, handler = std::move(aHandler), aBackOff](
          auto aResult) mutable {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(
      aBackOff.count() / 2, aBackOff.count());
    const std::chrono::milliseconds wait(jitter(random_));
    if (aResult || !aMayRepeat(aResult.error().kind) ||
        clock_.Now() + wait >= deadline_) {
      handler(std::move(aResult));
      return;
    }
    OneShotTimer::RunAfter(
      context_,
      wait,
      [this, aCall, aMayRepeat, handler = std::move(handler), aBackOff] {
        Run(
          aCall, aMayRepeat, handler, std::min(2 * aBackOff, kLongestBackOff));
      });
  });
}

void RetryingStore::Get(const ObjectKey& aKey, GetHandler aHandler)
{
  Run([this, aKey](GetHandler aEnd) { store_.Get(aKey, std::move(aEnd)); },
      &MayPass,
      std::move(aHandler),
      kFirstBackOff);
}

void RetryingStore::Put(const ObjectKey& aKey,
                        std::string aBody,
                        const ObjectCondition& aCondition,
                        PutHandler aHandler)
{
  const auto body = std::make_shared<const std::string>(std::move(aBody));
  Run(
    [this, aKey, body, aCondition](PutHandler aEnd) {
      store_.Put(aKey, *body, aCondition, std::move(aEnd));
    },
    &HadNoEffect,
    std::move(aHandler),
    kFirstBackOff);
}

void RetryingStore::Delete(const ObjectKey& aKey, DeleteHandler aHandler)
{
  Run(
    [this, aKey](DeleteHandler aEnd) { store_.Delete(aKey, std::move(aEnd)); },
    &MayPass,
    std::move(aHandler),
    kFirstBackOff);
}

void RetryingStore::List(const std::string& aPrefix, ListHandler aHandler)
{
  Run([this,
       aPrefix](ListHandler aEnd) { store_.List(aPrefix, std::move(aEnd)); },
      &MayPass,
      std::move(aHandler),
      kFirstBackOff);
}

void RetryingStore::Watch(const ObjectKey& aKey,
                          const ObjectTag& aKnown,
                          std::chrono::milliseconds aWait,
                          WatchHandler aHandler)
{
  Run(
    [this, aKey, aKnown, aWait](WatchHandler aEnd) {
      store_.Watch(aKey, aKnown, aWait, std::move(aEnd));
    },
    &MayPass,
    std::move(aHandler),
    kFirstBackOff);
}

void RetryingStore::Hosts(HostsHandler aHandler)
{
  Run([this](HostsHandler aEnd) { store_.Hosts(std::move(aEnd)); },
      &MayPass,
      std::move(aHandler),
      kFirstBackOff);
}

} // namespace lacewing
