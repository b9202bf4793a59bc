#include "ctl/ConfigPublisher.h"

#include "ctl/BlobCleaner.h"
#include "ctl/BlobWriter.h"
#include "ctl/HeadWriter.h"
#include "ctl/InForceWaiter.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

class Publisher : public std::enable_shared_from_this<Publisher>
{
public:
  Publisher(const CtlEnvironment& aEnvironment,
            ObjectStore& aStore,
            Publication aPublication,
            std::function<void(PublicationResult)> aHandler)
    : environment_(aEnvironment)
    , store_(aStore)
    , publication_(std::move(aPublication))
    , handler_(std::move(aHandler))
  {
  }

  void Start()
  {
    const EncodedConfig& next = *publication_.next;
    std::map<ObjectKey, std::string> blobs;
    for (const auto& [name, bytes] : next.blobs) {
      blobs[next.head.entries.at(name).key] = bytes;
    }
    wait_.adoptedBlobs = blobs;
    WriteBlobs(
      store_, std::move(blobs), [self = shared_from_this()](auto aFound) {
        self->OnBlobs(std::move(aFound));
      });
  }

private:
  const ConfigHead& BaseHead() const { return publication_.base.loaded.head; }

  void OnBlobs(Outcome<std::set<ObjectKey>> aFound)
  {
    if (!aFound) {
      result_.written = std::move(aFound).as_failure();
      handler_(result_);
      return;
    }
    for (auto blob = wait_.adoptedBlobs.begin();
         blob != wait_.adoptedBlobs.end();) {
      blob = aFound.value().count(blob->first) == 0
               ? wait_.adoptedBlobs.erase(blob)
               : std::next(blob);
    }
    WriteHead(
      environment_,
      store_,
      { BaseHead(), publication_.base.headTag, publication_.next->head },
      publication_.deadline,
      [self = shared_from_this()](Outcome<void> aWritten) {
        self->OnHead(std::move(aWritten));
      });
  }

  void OnHead(Outcome<void> aWritten)
  {
    result_.written = std::move(aWritten);
    if (!result_.written) {
      handler_(result_);
      return;
    }
    RecordRetired(store_,
                  BaseHead(),
                  publication_.next->head,
                  [self = shared_from_this()](Outcome<void> aRecorded) {
                    self->result_.cleaned = std::move(aRecorded);
                    self->Wait();
                  });
  }

  void Wait()
  {
    wait_.version = publication_.next->head.version;
    wait_.adminPort = publication_.adminPort;
    wait_.deadline = publication_.deadline;
    WaitUntilInForce(
      environment_, store_, wait_, [self = shared_from_this()](auto aReports) {
        self->result_.hosts = std::move(aReports);
        self->Clean();
      });
  }

  void Clean()
  {
    const ConfigVersion version = publication_.next->head.version;
    const auto inForce = [version](const HostReport& aReport) {
      return HasInForce(aReport, version);
    };
    // Hosts that lag behind may still fetch old blobs.
    if (!result_.cleaned || !result_.hosts ||
        !std::all_of(result_.hosts.value().begin(),
                     result_.hosts.value().end(),
                     inForce)) {
      handler_(result_);
      return;
    }
    DeleteRetired(store_, [self = shared_from_this()](Outcome<void> aCleaned) {
      self->result_.cleaned = std::move(aCleaned);
      self->handler_(self->result_);
    });
  }

  CtlEnvironment environment_;
  ObjectStore& store_;
  Publication publication_;
  std::function<void(PublicationResult)> handler_;
  InForceWait wait_;
  PublicationResult result_;
};

} // namespace

void Publish(const CtlEnvironment& aEnvironment,
             ObjectStore& aStore,
             Publication aPublication,
             std::function<void(PublicationResult)> aHandler)
{
  std::make_shared<Publisher>(
    aEnvironment, aStore, std::move(aPublication), std::move(aHandler))
    ->Start();
}

} // namespace lacewing
