#ifndef GATEWAY_OPENWORK_H
#define GATEWAY_OPENWORK_H

#include <map>
#include <memory>

namespace lacewing {

/**
 * Owns the objects that wait for a target or a timer. Their handlers refer to
 * them weakly: a connection that owned its handler's owner would form a cycle
 * that outlives the traffic thread.
 */
class OpenWork
{
public:
  void Add(std::shared_ptr<void> aObject)
  {
    const void* key = aObject.get();
    objects_.insert_or_assign(key, std::move(aObject));
  }

  /** Releases an object; the caller must not use it any more. */
  void Remove(const void* aObject)
  {
    // The destructor may use this registry, so the entry goes first.
    const auto held = objects_.extract(aObject);
  }

  /** Releases all objects. */
  void Clear()
  {
    while (!objects_.empty()) {
      Remove(objects_.begin()->first);
    }
  }

private:
  std::map<const void*, std::shared_ptr<void>> objects_;
};

} // namespace lacewing

#endif // GATEWAY_OPENWORK_H
