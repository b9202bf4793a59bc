#ifndef GATEWAY_OPENWORK_H
#define GATEWAY_OPENWORK_H

#include "gateway/DrainResult.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace lacewing {

/**
 * Owns the objects that wait for a target or a timer. Their handlers refer to
 * them weakly: a connection that owned its handler's owner would form a cycle
 * that outlives the traffic thread.
 */
class OpenWork
{
public:
  /** Ends an object at the end of a drain and counts how. */
  using EndHandler = std::function<void(DrainResult&)>;

  /** EndAll() calls aOnEnd, if any; it may refer to the object. */
  void Add(std::shared_ptr<void> aObject, EndHandler aOnEnd = nullptr)
  {
    const void* key = aObject.get();
    objects_.insert_or_assign(key,
                              Entry{ std::move(aObject), std::move(aOnEnd) });
  }

  /** Releases an object; the caller must not use it any more. */
  void Remove(const void* aObject)
  {
    // The destructor may use this registry, so the entry goes first.
    const auto held = objects_.extract(aObject);
  }

  /** Ends the objects that were added with a handler. */
  DrainResult EndAll()
  {
    // A handler removes its object, and others may go with it.
    std::vector<std::pair<std::weak_ptr<void>, EndHandler>> open;
    for (const auto& [key, entry] : objects_) {
      if (entry.onEnd) {
        open.emplace_back(entry.object, entry.onEnd);
      }
    }
    DrainResult result;
    for (const auto& [object, onEnd] : open) {
      if (const auto held = object.lock()) {
        onEnd(result);
      }
    }
    return result;
  }

  /** Releases all objects. */
  void Clear()
  {
    while (!objects_.empty()) {
      Remove(objects_.begin()->first);
    }
  }

private:
  struct Entry
  {
    std::shared_ptr<void> object;
    EndHandler onEnd;
  };

  std::map<const void*, Entry> objects_;
};

} // namespace lacewing

#endif // GATEWAY_OPENWORK_H
