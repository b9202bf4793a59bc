#include "ctl/HeadWriter.h"

#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "core/OneShotTimer.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// Lets a write that is still on its way arrive before it is repeated.
constexpr std::chrono::milliseconds kRepeatDelay{ 50 };

/** Names of all objects that differ, added and removed ones included. */
std::string NamesOfDifferences(const ConfigHead& aBase,
                               const ConfigHead& aOther)
{
  std::set<ObjectName> names;
  for (const ObjectName& name : ChangedObjects(aBase, aOther)) {
    names.insert(name);
  }
  for (const ObjectName& name : ChangedObjects(aOther, aBase)) {
    names.insert(name);
  }
  std::string text;
  for (const ObjectName& name : names) {
    text += (text.empty() ? "" : ", ") + name.value();
  }
  return text.empty() ? "nothing that differs now" : text;
}

/** Whether the head tells which writer made aVersion. */
bool RemembersVersion(const ConfigHead& aHead, ConfigVersion aVersion)
{
  return aHead.version == aVersion ||
         std::any_of(aHead.recent.begin(),
                     aHead.recent.end(),
                     [&](const RecentWrite& aRecent) {
                       return aRecent.version == aVersion;
                     });
}

class Writer : public std::enable_shared_from_this<Writer>
{
public:
  Writer(const CtlEnvironment& aEnvironment,
         ObjectStore& aStore,
         HeadWrite aWrite,
         TimePoint aDeadline,
         std::function<void(Outcome<void>)> aHandler)
    : context_(aEnvironment.context)
    , clock_(aEnvironment.clock)
    , store_(aStore)
    , write_(std::move(aWrite))
    , deadline_(aDeadline)
    , handler_(std::move(aHandler))
  {
  }

  void Start()
  {
    auto bytes = EncodeHead(write_.next);
    if (!bytes) {
      handler_(std::move(bytes).as_failure());
      return;
    }
    bytes_ = std::move(bytes).value();
    Put();
  }

private:
  void Put()
  {
    store_.Put(HeadKey(),
               bytes_,
               { write_.baseTag },
               [self = shared_from_this()](Outcome<ObjectTag> aResult) {
                 self->OnPut(std::move(aResult));
               });
  }

  void OnPut(Outcome<ObjectTag> aResult)
  {
    if (aResult) {
      handler_(outcome::success());
      return;
    }
    lastError_ = aResult.error();
    switch (lastError_.kind) {
      case ErrorKind::kTimeout:
        // From now on the write may have taken effect at any time.
        mayBeApplied_ = true;
        ReadBack();
        return;
      case ErrorKind::kConflict:
        ReadBack();
        return;
      default:
        Fail();
    }
  }

  void ReadBack()
  {
    store_.Get(HeadKey(),
               [self = shared_from_this()](Outcome<ObjectValue> aValue) {
                 self->OnReadBack(std::move(aValue));
               });
  }

  void OnReadBack(Outcome<ObjectValue> aValue)
  {
    if (!aValue) {
      if (aValue.error().kind == ErrorKind::kNotFound) {
        Repeat();
        return;
      }
      lastError_ = aValue.error();
      Fail();
      return;
    }
    const auto head = DecodeHead(aValue.value().body);
    if (!head) {
      lastError_ = head.error();
      Fail();
      return;
    }
    const ConfigHead& current = head.value();
    if (VersionOfToken(current, write_.next.token)) {
      handler_(outcome::success());
      return;
    }
    // Either the write has not taken effect, or the read is stale. The same
    // conditional write can take effect only once, so that repeating it is
    // safe in both cases.
    if (current.version < write_.next.version) {
      Repeat();
      return;
    }
    if (RemembersVersion(current, write_.next.version)) {
      mayBeApplied_ = false;
      lastError_ = {
        ErrorKind::kConflict,
        "another operator wrote version " +
          std::to_string(current.version.value()) + " after version " +
          std::to_string(write_.base.version.value()) +
          " and changed: " + NamesOfDifferences(write_.base, current),
        "look at the plan again and repeat the command"
      };
    }
    Fail();
  }

  void Repeat()
  {
    if (clock_.Now() + kRepeatDelay >= deadline_) {
      Fail();
      return;
    }
    OneShotTimer::RunAfter(
      context_, kRepeatDelay, [self = shared_from_this()] { self->Put(); });
  }

  void Fail()
  {
    if (mayBeApplied_) {
      handler_(lacewing::Fail(
        ErrorKind::kTimeout,
        "whether version " + std::to_string(write_.next.version.value()) +
          " was written is unknown: " + lastError_.what,
        "look for the token " + write_.next.token.value() +
          " with lacewingctl history when the platform is back"));
      return;
    }
    handler_(outcome::failure(lastError_));
  }

  asio::io_context& context_;
  const Clock& clock_;
  ObjectStore& store_;
  HeadWrite write_;
  TimePoint deadline_;
  std::function<void(Outcome<void>)> handler_;
  std::string bytes_;
  /** A write was sent whose answer was lost. */
  bool mayBeApplied_ = false;
  Error lastError_;
};

} // namespace

void WriteHead(const CtlEnvironment& aEnvironment,
               ObjectStore& aStore,
               HeadWrite aWrite,
               TimePoint aDeadline,
               std::function<void(Outcome<void>)> aHandler)
{
  std::make_shared<Writer>(
    aEnvironment, aStore, std::move(aWrite), aDeadline, std::move(aHandler))
    ->Start();
}

} // namespace lacewing
