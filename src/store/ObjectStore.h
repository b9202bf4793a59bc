#ifndef STORE_OBJECTSTORE_H
#define STORE_OBJECTSTORE_H

#include "lacewing/ObjectKey.h"
#include "lacewing/Outcome.h"
#include "store/ListedHost.h"
#include "store/ObjectCondition.h"
#include "store/ObjectValue.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/**
 * The platform's object store and host list. Handlers run later on the
 * caller's io_context, never from within the call. Errors: kNotFound,
 * kConflict (condition not met), kTooLarge, kRateLimited, kUnavailable (the
 * call had no effect) and kTimeout (a write may or may not have taken effect).
 */
class ObjectStore
{
public:
  using GetHandler = std::function<void(Outcome<ObjectValue>)>;
  using PutHandler = std::function<void(Outcome<ObjectTag>)>;
  using WatchHandler = std::function<void(Outcome<std::optional<ObjectValue>>)>;
  using ListHandler =
    std::function<void(Outcome<std::vector<std::pair<ObjectKey, ObjectTag>>>)>;
  using DeleteHandler = std::function<void(Outcome<void>)>;
  using HostsHandler = std::function<void(Outcome<std::vector<ListedHost>>)>;

  virtual ~ObjectStore() = default;

  virtual void Get(const ObjectKey& aKey, GetHandler aHandler) = 0;

  virtual void Put(const ObjectKey& aKey,
                   std::string aBody,
                   const ObjectCondition& aCondition,
                   PutHandler aHandler) = 0;

  virtual void Delete(const ObjectKey& aKey, DeleteHandler aHandler) = 0;

  virtual void List(const std::string& aPrefix, ListHandler aHandler) = 0;

  /**
   * Waits until the object's tag differs from aKnown; an empty value says
   * that it did not within aWait.
   */
  virtual void Watch(const ObjectKey& aKey,
                     const ObjectTag& aKnown,
                     std::chrono::milliseconds aWait,
                     WatchHandler aHandler) = 0;

  virtual void Hosts(HostsHandler aHandler) = 0;
};

} // namespace lacewing

#endif // STORE_OBJECTSTORE_H
