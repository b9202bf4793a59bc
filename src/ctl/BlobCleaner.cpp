#include "ctl/BlobCleaner.h"

#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "config/RetiredCodec.h"
#include "ctl/BoundedLoop.h"

#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

constexpr std::size_t kDeletionsAtOnce = 8;
// Bounds the work that one command does for all others.
constexpr std::size_t kMaxNotes = 32;

using Done = std::function<void(Outcome<void>)>;

class Cleaner : public std::enable_shared_from_this<Cleaner>
{
public:
  Cleaner(ObjectStore& aStore, Done aHandler)
    : store_(aStore)
    , handler_(std::move(aHandler))
  {
  }

  void Start()
  {
    store_.List(RetiredPrefix(), [self = shared_from_this()](auto aKeys) {
      if (!aKeys) {
        self->handler_(std::move(aKeys).as_failure());
        return;
      }
      for (const auto& [key, tag] : aKeys.value()) {
        self->notes_.push_back(key);
      }
      self->ReadHead();
    });
  }

private:
  // The head is read right before the deletions, because another operator
  // may have put an old blob to use again.
  void ReadHead()
  {
    store_.Get(HeadKey(), [self = shared_from_this()](auto aValue) {
      if (!aValue) {
        self->handler_(std::move(aValue).as_failure());
        return;
      }
      auto head = DecodeHead(aValue.value().body);
      if (!head) {
        self->handler_(std::move(head).as_failure());
        return;
      }
      for (const auto& [name, entry] : head.value().entries) {
        self->used_.insert(entry.key);
      }
      self->KeepOldNotes(head.value().version);
      self->DeleteAll();
    });
  }

  void KeepOldNotes(ConfigVersion aCurrent)
  {
    std::vector<ObjectKey> old;
    for (const ObjectKey& key : notes_) {
      const auto version = VersionOfRetiredKey(key);
      if (version && version->value() + kKeptVersions <= aCurrent.value() &&
          old.size() < kMaxNotes) {
        old.push_back(key);
      }
    }
    notes_ = std::move(old);
  }

  void DeleteAll()
  {
    RunBounded(
      notes_.size(),
      1,
      [self = shared_from_this()](std::size_t aIndex, Done aDone) {
        self->ReadNote(self->notes_[aIndex], std::move(aDone));
      },
      handler_);
  }

  void ReadNote(const ObjectKey& aNote, Done aDone)
  {
    store_.Get(
      aNote,
      [self = shared_from_this(), aNote, aDone](Outcome<ObjectValue> aValue) {
        if (!aValue) {
          // Another operator has cleaned up at the same time.
          if (aValue.error().kind == ErrorKind::kNotFound) {
            aDone(outcome::success());
          } else {
            aDone(std::move(aValue).as_failure());
          }
          return;
        }
        auto keys = DecodeRetired(aValue.value().body);
        if (!keys) {
          aDone(std::move(keys).as_failure());
          return;
        }
        self->DeleteBlobs(aNote, std::move(keys).value(), aDone);
      });
  }

  void DeleteBlobs(const ObjectKey& aNote,
                   std::vector<ObjectKey> aKeys,
                   const Done& aDone)
  {
    const auto keys = std::make_shared<std::vector<ObjectKey>>();
    for (ObjectKey& key : aKeys) {
      if (used_.count(key) == 0) {
        keys->push_back(std::move(key));
      }
    }
    RunBounded(
      keys->size(),
      kDeletionsAtOnce,
      [self = shared_from_this(), keys](std::size_t aIndex, const Done& aEnd) {
        self->Delete((*keys)[aIndex], aEnd);
      },
      [self = shared_from_this(), aNote, aDone](const Outcome<void>& aResult) {
        if (aResult) {
          self->Delete(aNote, aDone);
        } else {
          aDone(aResult);
        }
      });
  }

  void Delete(const ObjectKey& aKey, const Done& aDone)
  {
    store_.Delete(aKey, [aDone](const Outcome<void>& aResult) {
      if (!aResult && aResult.error().kind == ErrorKind::kNotFound) {
        aDone(outcome::success());
      } else {
        aDone(aResult);
      }
    });
  }

  ObjectStore& store_;
  Done handler_;
  std::vector<ObjectKey> notes_;
  std::set<ObjectKey> used_;
};

} // namespace

void RecordRetired(ObjectStore& aStore,
                   const ConfigHead& aBefore,
                   const ConfigHead& aAfter,
                   std::function<void(Outcome<void>)> aHandler)
{
  std::vector<ObjectKey> keys;
  for (const ObjectName& name : ChangedObjects(aAfter, aBefore)) {
    keys.push_back(aBefore.entries.at(name).key);
  }
  // An empty note costs one call and keeps the callers simple.
  aStore.Put(RetiredKey(aAfter.version),
             EncodeRetired(keys),
             ObjectCondition(),
             [handler = std::move(aHandler)](Outcome<ObjectTag> aResult) {
               if (aResult) {
                 handler(outcome::success());
               } else {
                 handler(std::move(aResult).as_failure());
               }
             });
}

void DeleteRetired(ObjectStore& aStore,
                   std::function<void(Outcome<void>)> aHandler)
{
  std::make_shared<Cleaner>(aStore, std::move(aHandler))->Start();
}

} // namespace lacewing
