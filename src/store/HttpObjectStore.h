#ifndef STORE_HTTPOBJECTSTORE_H
#define STORE_HTTPOBJECTSTORE_H

#include "store/HttpObjectStoreOptions.h"
#include "store/ObjectStore.h"
#include "store/StoreCallCounts.h"

#include <asio/io_context.hpp>

#include <memory>

namespace lacewing {

/**
 * The platform's store over HTTP (design, section 5.3). Used from the thread
 * of its io_context; handlers of calls in progress at its end never run.
 */
class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(asio::io_context& aContext,
                  const HttpObjectStoreOptions& aOptions);
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

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

  const StoreCallCounts& Counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // STORE_HTTPOBJECTSTORE_H
