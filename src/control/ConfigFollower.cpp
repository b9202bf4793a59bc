#include "control/ConfigFollower.h"

#include "config/BlobCodec.h"
#include "config/ConfigKeys.h"
#include "config/ConfigLimits.h"
#include "config/HeadCodec.h"
#include "core/Log.h"
#include "core/OneShotTimer.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <utility>

namespace lacewing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBackOff{ 100 };
constexpr milliseconds kLongestBackOff{ 5000 };
// Reads in progress when many blobs changed; at the start these are all, and
// the store's rate is shared with the other hosts.
constexpr std::size_t kMaxFetches = 8;

/** Decodes one object only to learn whether it is valid. */
Outcome<void> CheckBlob(const ObjectName& aName, const std::string& aBytes)
{
  if (aBytes.size() > kMaxObjectBytes.value()) {
    return Fail(ErrorKind::kTooLarge,
                "the object has " + std::to_string(aBytes.size()) + " bytes",
                "split it into several services");
  }
  if (aName == ZonesObject()) {
    BOOST_OUTCOME_TRY(DecodeZones(aBytes));
  } else if (aName == HostsObject()) {
    BOOST_OUTCOME_TRY(DecodeHosts(aBytes));
  } else {
    BOOST_OUTCOME_TRY(DecodeService(aBytes));
  }
  return outcome::success();
}

} // namespace

class ConfigFollower::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext,
       ObjectStore& aStore,
       ConfigState& aConfigs,
       const ControlTerms& aTerms,
       std::uint64_t aSeed)
    : store_(aStore)
    , configs_(aConfigs)
    , terms_(aTerms)
    , timer_(aContext)
    , random_(aSeed)
  {
  }

  void SetWatching(bool aWatching)
  {
    const bool first = !std::exchange(started_, true);
    if (std::exchange(watching_, aWatching) == aWatching && !first) {
      return;
    }
    // A watch in progress ends by itself; a pause ends now.
    if (first || (watching_ && !busy_)) {
      Pause(milliseconds(0));
    }
  }

  bool Watching() const { return watching_; }
  const ConfigFollowerCounts& Counts() const { return counts_; }
  void Stop()
  {
    stopped_ = true;
    timer_.Cancel();
  }

private:
  /** Passes an answer on unless the follower is gone. */
  template<class Method>
  auto Bind(Method aMethod)
  {
    return [weak = weak_from_this(), aMethod](auto aAnswer) {
      const auto self = weak.lock();
      if (self && !self->stopped_) {
        ((*self).*aMethod)(std::move(aAnswer));
      }
    };
  }

  void ReadHead()
  {
    busy_ = true;
    if (!tag_) {
      store_.Get(HeadKey(), Bind(&Impl::OnHeadRead));
      return;
    }
    // Without waiting, an unchanged head costs an answer without a body.
    store_.Watch(HeadKey(),
                 *tag_,
                 watching_ ? terms_.watchWait : milliseconds(0),
                 Bind(&Impl::OnHeadWatched));
  }

  void OnHeadRead(Outcome<ObjectValue> aValue)
  {
    if (!aValue) {
      OnReadFailed(HeadKey(), aValue.error());
      return;
    }
    OnHead(aValue.value());
  }

  void OnHeadWatched(Outcome<std::optional<ObjectValue>> aValue)
  {
    if (!aValue) {
      tag_.reset();
      OnReadFailed(HeadKey(), aValue.error());
      return;
    }
    if (!aValue.value()) {
      Continue();
      return;
    }
    OnHead(*aValue.value());
  }

  void OnHead(const ObjectValue& aValue)
  {
    auto head = DecodeHead(aValue.body);
    if (!head) {
      tag_ = aValue.tag;
      OnInvalid(HeadKey(), head.error());
      return;
    }
    const ConfigVersion version = head.value().version;
    if (version < configs_.Version()) {
      // Watching the stale tag would return at once, again and again.
      ++counts_.staleHeads;
      tag_ = aValue.tag;
      BackOff();
      return;
    }
    if (version == configs_.Version()) {
      tag_ = aValue.tag;
      Continue();
      return;
    }
    headTag_ = aValue.tag;
    head_ = std::move(head).value();
    blobs_.clear();
    const auto missing = configs_.Missing(head_);
    queue_.assign(missing.begin(), missing.end());
    failure_.reset();
    FetchMore();
  }

  void FetchMore()
  {
    while (!failure_ && !queue_.empty() && fetches_ < kMaxFetches) {
      const ObjectName name = queue_.front();
      queue_.pop_front();
      ++fetches_;
      store_.Get(head_.entries.at(name).key,
                 [name, next = Bind(&Impl::OnBlob)](auto aValue) {
                   next(std::make_pair(name, std::move(aValue)));
                 });
    }
    if (fetches_ == 0) {
      OnFetched();
    }
  }

  void OnBlob(std::pair<ObjectName, Outcome<ObjectValue>> aBlob)
  {
    --fetches_;
    auto& [name, value] = aBlob;
    if (value) {
      blobs_[name] = std::move(value).value().body;
    } else if (!failure_) {
      failure_ = std::make_pair(name, value.error());
    }
    FetchMore();
  }

  void OnFetched()
  {
    if (failure_) {
      // The head is read again, because a newer one may not need the blob.
      tag_.reset();
      OnReadFailed(head_.entries.at(failure_->first).key, failure_->second);
      return;
    }
    for (const auto& [name, bytes] : blobs_) {
      const HeadEntry& entry = head_.entries.at(name);
      const Outcome<void> valid =
        HashOfBlob(bytes) == entry.hash
          ? CheckBlob(name, bytes)
          : Fail(ErrorKind::kInvalidMessage,
                 "the object does not match its content hash",
                 "write the configuration again with lacewingctl apply");
      if (!valid) {
        tag_.reset();
        OnInvalid(entry.key, valid.error());
        return;
      }
    }
    const auto offered = configs_.Offer(head_, std::move(blobs_));
    blobs_.clear();
    if (!offered && offered.error().kind != ErrorKind::kConflict) {
      tag_.reset();
      OnInvalid(HeadKey(), offered.error());
      return;
    }
    tag_ = headTag_;
    Continue();
  }

  void OnReadFailed(const ObjectKey& aKey, const Error& aError)
  {
    ++counts_.failedReads;
    // The first of a series is worth a line, as an outage can take hours.
    Log(backOff_ == kFirstBackOff ? LogLevel::kWarning : LogLevel::kDebug,
        "store_read_failed",
        { { "key", aKey.value() }, { "error", aError.ToString() } });
    BackOff();
  }

  void OnInvalid(const ObjectKey& aKey, const Error& aError)
  {
    ++counts_.invalidObjects;
    Log(LogLevel::kError,
        "invalid_object",
        { { "key", aKey.value() },
          { "error", aError.ToString() },
          { "version_in_force", std::to_string(configs_.Version().value()) } });
    BackOff();
  }

  void Continue()
  {
    backOff_ = kFirstBackOff;
    if (watching_) {
      ReadHead();
      return;
    }
    Pause(
      Jitter(std::chrono::duration_cast<milliseconds>(terms_.slowPollTime)));
  }

  void BackOff()
  {
    Pause(Jitter(backOff_));
    backOff_ = std::min(backOff_ * 2, kLongestBackOff);
  }

  /** Between half and one and a half of aTime, so that hosts spread out. */
  milliseconds Jitter(milliseconds aTime)
  {
    std::uniform_int_distribution<std::int64_t> spread(aTime.count() / 2,
                                                       aTime.count() * 3 / 2);
    return milliseconds(spread(random_));
  }

  void Pause(milliseconds aTime)
  {
    busy_ = false;
    timer_.Arm(aTime, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->stopped_) {
        self->ReadHead();
      }
    });
  }

  ObjectStore& store_;
  ConfigState& configs_;
  ControlTerms terms_;
  ConfigFollowerCounts counts_;
  OneShotTimer timer_;
  std::mt19937_64 random_;
  milliseconds backOff_ = kFirstBackOff;
  bool started_ = false;
  bool stopped_ = false;
  bool watching_ = false;
  /** Whether a call is in progress rather than a pause. */
  bool busy_ = false;
  /** Tag of the last head that was dealt with. */
  std::optional<ObjectTag> tag_;
  /** The head whose blobs are being fetched, and its tag. */
  ConfigHead head_;
  ObjectTag headTag_;
  std::deque<ObjectName> queue_;
  std::size_t fetches_ = 0;
  BlobMap blobs_;
  std::optional<std::pair<ObjectName, Error>> failure_;
};

ConfigFollower::ConfigFollower(asio::io_context& aContext,
                               ObjectStore& aStore,
                               ConfigState& aConfigs,
                               const ControlTerms& aTerms,
                               std::uint64_t aSeed)
  : impl_(std::make_shared<Impl>(aContext, aStore, aConfigs, aTerms, aSeed))
{
}

ConfigFollower::~ConfigFollower()
{
  impl_->Stop();
}

void ConfigFollower::SetWatching(bool aWatching)
{
  impl_->SetWatching(aWatching);
}

bool ConfigFollower::Watching() const
{
  return impl_->Watching();
}

const ConfigFollowerCounts& ConfigFollower::Counts() const
{
  return impl_->Counts();
}

} // namespace lacewing
