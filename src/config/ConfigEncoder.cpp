#include "config/ConfigEncoder.h"

#include "config/BlobCodec.h"
#include "config/ConfigAssembler.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"

namespace lacewing {

namespace {

Outcome<void> AddObject(EncodedConfig& aEncoded,
                        const ObjectName& aName,
                        Outcome<std::string> aBytes)
{
  BOOST_OUTCOME_TRY(auto bytes, std::move(aBytes));
  const BlobHash hash = HashOfBlob(bytes);
  aEncoded.head.entries[aName] = { hash, BlobKey(aName, hash) };
  aEncoded.blobs[aName] = std::move(bytes);
  return outcome::success();
}

} // namespace

Outcome<EncodedConfig> EncodeConfig(const Configuration& aConfiguration,
                                    const ConfigHead& aHead,
                                    const WriteToken& aToken)
{
  EncodedConfig encoded{ NextHead(aHead, aToken), {} };
  encoded.head.entries.clear();
  BOOST_OUTCOME_TRY(
    AddObject(encoded, ZonesObject(), EncodeZones(aConfiguration.zones)));
  BOOST_OUTCOME_TRY(
    AddObject(encoded, HostsObject(), EncodeHosts(aConfiguration.hosts)));
  for (const auto& [id, service] : aConfiguration.services) {
    BOOST_OUTCOME_TRY(
      AddObject(encoded, ServiceObject(id), EncodeService(*service)));
  }
  // Readers would keep their last good configuration for ever if a writer
  // published one that they refuse.
  BOOST_OUTCOME_TRY(const auto bytes, EncodeHead(encoded.head));
  BOOST_OUTCOME_TRY(const auto head, DecodeHead(bytes));
  BOOST_OUTCOME_TRY(AssembleConfig(head, encoded.blobs, nullptr));
  return encoded;
}

} // namespace lacewing
