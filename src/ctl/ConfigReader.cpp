#include "ctl/ConfigReader.h"

#include "config/ConfigAssembler.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "ctl/BoundedLoop.h"

#include <utility>
#include <vector>

namespace lacewing {

namespace {

constexpr std::size_t kReadsAtOnce = 16;
// A blob that is gone belongs to a head that is no longer current.
constexpr int kMaxHeads = 5;

class Reader : public std::enable_shared_from_this<Reader>
{
public:
  Reader(ObjectStore& aStore,
         std::shared_ptr<const EncodedConfig> aLocal,
         StoredConfigHandler aHandler)
    : store_(aStore)
    , local_(std::move(aLocal))
    , handler_(std::move(aHandler))
  {
  }

  void ReadHead()
  {
    ++heads_;
    store_.Get(HeadKey(),
               [self = shared_from_this()](Outcome<ObjectValue> aValue) {
                 self->OnHead(std::move(aValue));
               });
  }

private:
  void OnHead(Outcome<ObjectValue> aValue)
  {
    if (!aValue) {
      if (aValue.error().kind == ErrorKind::kNotFound) {
        handler_(StoredConfig{ { {}, std::make_shared<const Configuration>() },
                               std::nullopt });
        return;
      }
      handler_(std::move(aValue).as_failure());
      return;
    }
    auto head = DecodeHead(aValue.value().body);
    if (!head) {
      handler_(std::move(head).as_failure());
      return;
    }
    head_ = std::move(head).value();
    tag_ = aValue.value().tag;
    blobs_.clear();
    missing_.clear();
    for (const auto& [name, entry] : head_.entries) {
      if (const std::string* blob = FindLocal(name, entry)) {
        blobs_[name] = *blob;
      } else {
        missing_.push_back(name);
      }
    }
    RunBounded(
      missing_.size(),
      kReadsAtOnce,
      [self = shared_from_this()](std::size_t aIndex, auto aDone) {
        self->ReadBlob(self->missing_[aIndex], std::move(aDone));
      },
      [self = shared_from_this()](const Outcome<void>& aResult) {
        self->OnBlobs(aResult);
      });
  }

  const std::string* FindLocal(const ObjectName& aName,
                               const HeadEntry& aEntry) const
  {
    if (!local_) {
      return nullptr;
    }
    const auto entry = local_->head.entries.find(aName);
    return entry != local_->head.entries.end() &&
               entry->second.hash == aEntry.hash
             ? &local_->blobs.at(aName)
             : nullptr;
  }

  void ReadBlob(const ObjectName& aName,
                std::function<void(Outcome<void>)> aDone)
  {
    store_.Get(head_.entries.at(aName).key,
               [self = shared_from_this(), aName, done = std::move(aDone)](
                 Outcome<ObjectValue> aValue) {
                 if (!aValue) {
                   done(std::move(aValue).as_failure());
                   return;
                 }
                 self->blobs_[aName] = std::move(aValue).value().body;
                 done(outcome::success());
               });
  }

  void OnBlobs(const Outcome<void>& aResult)
  {
    if (!aResult) {
      if (aResult.error().kind == ErrorKind::kNotFound && heads_ < kMaxHeads) {
        ReadHead();
        return;
      }
      handler_(outcome::failure(aResult.error()));
      return;
    }
    auto loaded = AssembleConfig(head_, blobs_, nullptr);
    if (!loaded) {
      handler_(std::move(loaded).as_failure());
      return;
    }
    handler_(StoredConfig{ std::move(loaded).value(), tag_ });
  }

  ObjectStore& store_;
  std::shared_ptr<const EncodedConfig> local_;
  StoredConfigHandler handler_;
  int heads_ = 0;
  ConfigHead head_;
  std::optional<ObjectTag> tag_;
  BlobMap blobs_;
  std::vector<ObjectName> missing_;
};

} // namespace

void ReadConfig(ObjectStore& aStore,
                std::shared_ptr<const EncodedConfig> aLocal,
                StoredConfigHandler aHandler)
{
  std::make_shared<Reader>(aStore, std::move(aLocal), std::move(aHandler))
    ->ReadHead();
}

} // namespace lacewing
