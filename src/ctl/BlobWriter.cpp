#include "ctl/BlobWriter.h"

#include "ctl/BoundedLoop.h"

#include <memory>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

constexpr std::size_t kWritesAtOnce = 16;
// A lost answer is settled by creating the blob again; a store that loses
// more answers than this in a row counts as unavailable.
constexpr int kMaxAttempts = 5;

class Writer : public std::enable_shared_from_this<Writer>
{
public:
  using Handler = std::function<void(Outcome<std::set<ObjectKey>>)>;

  Writer(ObjectStore& aStore,
         std::map<ObjectKey, std::string> aBlobs,
         Handler aHandler)
    : store_(aStore)
    , blobs_(aBlobs.begin(), aBlobs.end())
    , handler_(std::move(aHandler))
  {
  }

  void Start()
  {
    RunBounded(
      blobs_.size(),
      kWritesAtOnce,
      [self = shared_from_this()](std::size_t aIndex, auto aDone) {
        self->Write(aIndex, 1, std::move(aDone));
      },
      [self = shared_from_this()](const Outcome<void>& aResult) {
        if (aResult) {
          self->handler_(self->found_);
        } else {
          self->handler_(outcome::failure(aResult.error()));
        }
      });
  }

private:
  void Write(std::size_t aIndex,
             int aAttempt,
             std::function<void(Outcome<void>)> aDone)
  {
    const auto& [key, bytes] = blobs_[aIndex];
    store_.Put(
      key,
      bytes,
      ObjectCondition(),
      [self = shared_from_this(), aIndex, aAttempt, done = std::move(aDone)](
        const Outcome<ObjectTag>& aResult) {
        self->OnWritten(aIndex, aAttempt, aResult, done);
      });
  }

  void OnWritten(std::size_t aIndex,
                 int aAttempt,
                 const Outcome<ObjectTag>& aResult,
                 const std::function<void(Outcome<void>)>& aDone)
  {
    if (!aResult && aResult.error().kind == ErrorKind::kTimeout &&
        aAttempt < kMaxAttempts) {
      Write(aIndex, aAttempt + 1, aDone);
      return;
    }
    if (!aResult && aResult.error().kind != ErrorKind::kConflict) {
      aDone(outcome::failure(aResult.error()));
      return;
    }
    if (!aResult) {
      found_.insert(blobs_[aIndex].first);
    }
    aDone(outcome::success());
  }

  ObjectStore& store_;
  std::vector<std::pair<ObjectKey, std::string>> blobs_;
  Handler handler_;
  std::set<ObjectKey> found_;
};

} // namespace

void WriteBlobs(ObjectStore& aStore,
                std::map<ObjectKey, std::string> aBlobs,
                std::function<void(Outcome<std::set<ObjectKey>>)> aHandler)
{
  std::make_shared<Writer>(aStore, std::move(aBlobs), std::move(aHandler))
    ->Start();
}

} // namespace lacewing
