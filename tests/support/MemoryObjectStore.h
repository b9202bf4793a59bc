#ifndef TESTS_SUPPORT_MEMORYOBJECTSTORE_H
#define TESTS_SUPPORT_MEMORYOBJECTSTORE_H

#include "store/ObjectStore.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <functional>
#include <map>

namespace lacewing {

/** What becomes of a write in a MemoryObjectStore. */
enum class WriteFate
{
  kNormal,
  /** Takes effect, but the answer is lost. */
  kAppliedAnswerLost,
  /** Has no effect, and the answer is lost. */
  kDropped,
  /** The answer is lost, and the write waits for ApplyLate. */
  kLate,
};

/** Object store in memory that loses answers, conflicts and fails. */
class MemoryObjectStore final : public ObjectStore
{
public:
  explicit MemoryObjectStore(asio::io_context& aContext)
    : context_(aContext)
  {
  }

  std::map<ObjectKey, ObjectValue> objects;
  std::vector<ListedHost> hosts;
  bool down = false;
  /** When set, reads see these objects. */
  std::optional<std::map<ObjectKey, ObjectValue>> stale;
  /** Decides each write; may act as another writer before it. */
  std::function<WriteFate(const ObjectKey&)> onPut;
  /** Called before each read of an object. */
  std::function<void(const ObjectKey&)> onGet;
  std::vector<ObjectKey> puts;

  Outcome<ObjectTag> Apply(const ObjectKey& aKey,
                           const std::string& aBody,
                           const ObjectCondition& aCondition)
  {
    const auto found = objects.find(aKey);
    const bool met =
      aCondition.currentTag
        ? found != objects.end() && found->second.tag == *aCondition.currentTag
        : found == objects.end();
    if (!met) {
      return Fail(ErrorKind::kConflict, "condition not met", "read again");
    }
    ObjectTag tag("\"" + std::to_string(++lastTag_) + "\"");
    objects[aKey] = { aBody, tag };
    return tag;
  }

  void ApplyLate()
  {
    if (late_) {
      std::exchange(late_, nullptr)();
    }
  }

  void Get(const ObjectKey& aKey, GetHandler aHandler) override
  {
    if (onGet) {
      onGet(aKey);
    }
    const auto& readable = stale ? *stale : objects;
    const auto found = readable.find(aKey);
    AnswerRead<ObjectValue>(std::move(aHandler),
                            found != readable.end()
                              ? Outcome<ObjectValue>(found->second)
                              : Fail(ErrorKind::kNotFound, "no object", ""));
  }

  void Put(const ObjectKey& aKey,
           std::string aBody,
           const ObjectCondition& aCondition,
           PutHandler aHandler) override
  {
    if (down) {
      Answer(std::move(aHandler), Outcome<ObjectTag>(Down()));
      return;
    }
    puts.push_back(aKey);
    const WriteFate fate = onPut ? onPut(aKey) : WriteFate::kNormal;
    Outcome<ObjectTag> result = Fail(ErrorKind::kTimeout, "answer lost", "");
    if (fate == WriteFate::kNormal) {
      result = Apply(aKey, aBody, aCondition);
    } else if (fate == WriteFate::kAppliedAnswerLost) {
      (void)Apply(aKey, aBody, aCondition);
    } else if (fate == WriteFate::kLate) {
      late_ = [=] { (void)Apply(aKey, aBody, aCondition); };
    }
    Answer(std::move(aHandler), std::move(result));
  }

  void Delete(const ObjectKey& aKey, DeleteHandler aHandler) override
  {
    Outcome<void> result = outcome::success();
    if (down) {
      result = Down();
    } else if (objects.erase(aKey) == 0) {
      result = Fail(ErrorKind::kNotFound, "no object", "");
    }
    Answer(std::move(aHandler), std::move(result));
  }

  void List(const std::string& aPrefix, ListHandler aHandler) override
  {
    std::vector<std::pair<ObjectKey, ObjectTag>> list;
    for (const auto& [key, value] : objects) {
      if (key.value().rfind(aPrefix, 0) == 0) {
        list.emplace_back(key, value.tag);
      }
    }
    AnswerRead<decltype(list)>(std::move(aHandler), std::move(list));
  }

  void Watch(const ObjectKey&,
             const ObjectTag&,
             std::chrono::milliseconds,
             WatchHandler aHandler) override
  {
    AnswerRead<std::optional<ObjectValue>>(
      std::move(aHandler), Fail(ErrorKind::kInternal, "not supported", ""));
  }

  void Hosts(HostsHandler aHandler) override
  {
    AnswerRead<std::vector<ListedHost>>(std::move(aHandler), hosts);
  }

private:
  static Error Down()
  {
    return { ErrorKind::kUnavailable, "the store is down", "wait" };
  }

  template<class T>
  void AnswerRead(std::function<void(Outcome<T>)> aHandler, Outcome<T> aResult)
  {
    Answer(std::move(aHandler), down ? Outcome<T>(Down()) : std::move(aResult));
  }

  template<class T>
  void Answer(std::function<void(Outcome<T>)> aHandler, Outcome<T> aResult)
  {
    asio::post(context_,
               [handler = std::move(aHandler), result = std::move(aResult)] {
                 handler(result);
               });
  }

  asio::io_context& context_;
  std::uint64_t lastTag_ = 0;
  std::function<void()> late_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_MEMORYOBJECTSTORE_H
