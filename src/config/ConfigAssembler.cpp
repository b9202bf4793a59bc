#include "config/ConfigAssembler.h"

#include "config/BlobCodec.h"
#include "config/ConfigCheck.h"

namespace lacewing {

namespace {

/** The blob of an object, checked against the hash in the head. */
Outcome<const std::string*> FindBlob(const ObjectName& aName,
                                     const HeadEntry& aEntry,
                                     const BlobMap& aBlobs)
{
  const auto found = aBlobs.find(aName);
  if (found == aBlobs.end()) {
    return Fail(ErrorKind::kNotFound,
                "the object " + aName.value() + " has not been fetched",
                "fetch " + aEntry.key.value());
  }
  if (HashOfBlob(found->second) != aEntry.hash) {
    return Fail(ErrorKind::kInvalidMessage,
                "the object " + aName.value() +
                  " does not match its content hash",
                "fetch " + aEntry.key.value() + " again");
  }
  return &found->second;
}

/** Fills the configuration with one object of the head. */
class Assembler
{
public:
  Assembler(const BlobMap& aBlobs, const LoadedConfig* aPrevious)
    : blobs_(aBlobs)
    , previous_(aPrevious)
  {
  }

  Outcome<void> Add(const ObjectName& aName, const HeadEntry& aEntry)
  {
    if (aName == ZonesObject()) {
      return AddPart(aName, aEntry, &Configuration::zones, &DecodeZones);
    }
    if (aName == HostsObject()) {
      return AddPart(aName, aEntry, &Configuration::hosts, &DecodeHosts);
    }
    return AddService(aName, aEntry);
  }

  Configuration Take() { return std::move(result_); }

private:
  bool Unchanged(const ObjectName& aName, const HeadEntry& aEntry) const
  {
    if (previous_ == nullptr) {
      return false;
    }
    const auto found = previous_->head.entries.find(aName);
    return found != previous_->head.entries.end() &&
           found->second.hash == aEntry.hash;
  }

  template<class Part>
  Outcome<void> AddPart(const ObjectName& aName,
                        const HeadEntry& aEntry,
                        Part Configuration::*aPart,
                        Outcome<Part> (*aDecode)(std::string_view))
  {
    if (Unchanged(aName, aEntry)) {
      result_.*aPart = *previous_->configuration.*aPart;
      return outcome::success();
    }
    BOOST_OUTCOME_TRY(const auto* blob, FindBlob(aName, aEntry, blobs_));
    BOOST_OUTCOME_TRY(result_.*aPart, aDecode(*blob));
    return outcome::success();
  }

  Outcome<void> AddService(const ObjectName& aName, const HeadEntry& aEntry)
  {
    const auto id = ServiceOfObject(aName);
    if (!id) {
      return Fail(ErrorKind::kInvalidMessage,
                  "the head names the unknown object " + aName.value(),
                  "use a release that knows it");
    }
    if (Unchanged(aName, aEntry)) {
      result_.services[*id] = previous_->configuration->services.at(*id);
      return outcome::success();
    }
    BOOST_OUTCOME_TRY(const auto* blob, FindBlob(aName, aEntry, blobs_));
    BOOST_OUTCOME_TRY(auto service, DecodeService(*blob));
    if (service.id != *id) {
      return Fail(ErrorKind::kInvalidMessage,
                  "the object " + aName.value() + " holds the service " +
                    service.id.value(),
                  "write the configuration again with lacewingctl apply");
    }
    result_.services[*id] =
      std::make_shared<const ServiceConfig>(std::move(service));
    return outcome::success();
  }

  const BlobMap& blobs_;
  const LoadedConfig* previous_;
  Configuration result_;
};

} // namespace

Outcome<LoadedConfig> AssembleConfig(const ConfigHead& aHead,
                                     const BlobMap& aBlobs,
                                     const LoadedConfig* aPrevious)
{
  Assembler assembler(aBlobs, aPrevious);
  for (const auto& [name, entry] : aHead.entries) {
    BOOST_OUTCOME_TRY(assembler.Add(name, entry));
  }
  Configuration configuration = assembler.Take();
  configuration.version = aHead.version;
  BOOST_OUTCOME_TRY(CheckConfiguration(configuration));
  return LoadedConfig{
    aHead, std::make_shared<const Configuration>(std::move(configuration))
  };
}

} // namespace lacewing
