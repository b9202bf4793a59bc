#ifndef GATEWAY_OPENWORK_H
#define GATEWAY_OPENWORK_H

#include "gateway/DrainResult.h"
#include "gateway/DrainSteps.h"

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
  /** aSteps may refer to the object; empty for one that a drain leaves alone.
   */
  void Add(std::shared_ptr<void> aObject, DrainSteps aSteps = {})
  {
    const void* key = aObject.get();
    objects_.insert_or_assign(key,
                              Entry{ std::move(aObject), std::move(aSteps) });
  }

  /** Releases an object; the caller must not use it any more. */
  void Remove(const void* aObject)
  {
    // The destructor may use this registry, so the entry goes first.
    const auto held = objects_.extract(aObject);
  }

  /** Reads the answers that have arrived; their handlers are queued. */
  void ReadArrived()
  {
    for (const auto& [key, entry] : objects_) {
      if (entry.steps.readArrived) {
        entry.steps.readArrived();
      }
    }
  }

  /** Ends the objects that were added with steps. */
  DrainResult EndAll()
  {
    // A step removes its object, and others may go with it.
    std::vector<std::pair<std::weak_ptr<void>, DrainSteps>> open;
    for (const auto& [key, entry] : objects_) {
      if (entry.steps.end) {
        open.emplace_back(entry.object, entry.steps);
      }
    }
    DrainResult result;
    for (const auto& [object, steps] : open) {
      if (const auto held = object.lock()) {
        steps.end(result);
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
    DrainSteps steps;
  };

  std::map<const void*, Entry> objects_;
};

} // namespace lacewing

#endif // GATEWAY_OPENWORK_H
