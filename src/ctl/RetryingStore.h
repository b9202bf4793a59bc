#ifndef CTL_RETRYINGSTORE_H
#define CTL_RETRYINGSTORE_H

#include "lacewing/Clock.h"
#include "store/ObjectStore.h"

#include <asio/io_context.hpp>

#include <random>

namespace lacewing {

/**
 * Repeats calls of a store that is briefly down or over its rate, with a
 * back-off and jitter, until a deadline. A write whose answer was lost
 * (kTimeout) is not repeated; its caller has to learn what became of it.
 */
class RetryingStore final : public ObjectStore
{
public:
  /** The arguments outlive the store. */
  RetryingStore(asio::io_context& aContext,
                const Clock& aClock,
                ObjectStore& aStore,
                std::mt19937_64& aRandom,
                TimePoint aDeadline);

  void Get(const ObjectKey& aKey, GetHandler aHandler) override;
  void Put(const ObjectKey& aKey,
           std::string aBody,
           const ObjectCondition& aCondition,
           PutHandler aHandler) override;
  void Delete(const ObjectKey& aKey, DeleteHandler aHandler) override;
  void List(const std::string& aPrefix, ListHandler aHandler) override;
  void Watch(const ObjectKey& aKey,
             const ObjectTag& aKnown,
             std::chrono::milliseconds aWait,
             WatchHandler aHandler) override;
  void Hosts(HostsHandler aHandler) override;

private:
  template<class Call, class Handler>
  void Run(Call aCall,
           bool (*aMayRepeat)(ErrorKind),
           Handler aHandler,
           std::chrono::milliseconds aBackOff);

  asio::io_context& context_;
  const Clock& clock_;
  ObjectStore& store_;
  std::mt19937_64& random_;
  TimePoint deadline_;
};

} // namespace lacewing

#endif // CTL_RETRYINGSTORE_H
