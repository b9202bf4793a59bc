#include "config/ConfigEncoder.h"

#include "config/BlobCodec.h"
#include "config/ConfigAssembler.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"

namespace lacewing {

namespace {

/** Enters the objects of the next configuration into a head. */
class Encoder
{
public:
  Encoder(const Configuration& aNext,
          const LoadedConfig& aBase,
          const WriteToken& aToken)
    : next_(aNext)
    , base_(aBase)
    , result_{ NextHead(aBase.head, aToken), {} }
  {
    result_.head.entries.clear();
  }

  Outcome<void> AddZones()
  {
    const auto* base = Base();
    return Add(ZonesObject(),
               EncodeZones(next_.zones),
               base == nullptr ? "" : EncodeZones(base->zones));
  }

  Outcome<void> AddHosts()
  {
    const auto* base = Base();
    return Add(HostsObject(),
               EncodeHosts(next_.hosts),
               base == nullptr ? "" : EncodeHosts(base->hosts));
  }

  Outcome<void> AddService(const ServiceConfig& aService)
  {
    Outcome<std::string> before = std::string();
    if (const auto* base = Base()) {
      const auto found = base->services.find(aService.id);
      if (found != base->services.end()) {
        before = EncodeService(*found->second);
      }
    }
    return Add(
      ServiceObject(aService.id), EncodeService(aService), std::move(before));
  }

  EncodedConfig Take() { return std::move(result_); }

private:
  const Configuration* Base() const { return base_.configuration.get(); }

  Outcome<void> Add(const ObjectName& aName,
                    Outcome<std::string> aBytes,
                    const Outcome<std::string>& aBefore)
  {
    BOOST_OUTCOME_TRY(auto bytes, std::move(aBytes));
    const auto entry = base_.head.entries.find(aName);
    if (aBefore && aBefore.value() == bytes &&
        entry != base_.head.entries.end()) {
      result_.head.entries[aName] = entry->second;
      return outcome::success();
    }
    const BlobHash hash = HashOfBlob(bytes);
    result_.head.entries[aName] = { hash, BlobKey(aName, hash) };
    result_.blobs[aName] = std::move(bytes);
    return outcome::success();
  }

  const Configuration& next_;
  const LoadedConfig& base_;
  EncodedConfig result_;
};

} // namespace

Outcome<EncodedConfig> EncodeNextConfig(const Configuration& aNext,
                                        const LoadedConfig& aBase,
                                        const WriteToken& aToken)
{
  Encoder encoder(aNext, aBase, aToken);
  BOOST_OUTCOME_TRY(encoder.AddZones());
  BOOST_OUTCOME_TRY(encoder.AddHosts());
  for (const auto& [id, service] : aNext.services) {
    BOOST_OUTCOME_TRY(encoder.AddService(*service));
  }
  EncodedConfig encoded = encoder.Take();
  // Readers would keep their last good configuration for ever if a writer
  // published one that they refuse.
  BOOST_OUTCOME_TRY(const auto bytes, EncodeHead(encoded.head));
  BOOST_OUTCOME_TRY(const auto head, DecodeHead(bytes));
  BOOST_OUTCOME_TRY(AssembleConfig(
    head, encoded.blobs, aBase.configuration == nullptr ? nullptr : &aBase));
  return encoded;
}

Outcome<EncodedConfig> EncodeConfig(const Configuration& aConfiguration,
                                    const ConfigHead& aHead,
                                    const WriteToken& aToken)
{
  return EncodeNextConfig(aConfiguration, { aHead, nullptr }, aToken);
}

} // namespace lacewing
