#include "control/ConfigParts.h"

#include <utility>

namespace lacewing {

namespace {

// Keys, lengths and the hash of an entry in CBOR, with some to spare.
constexpr std::size_t kEntryOverhead = 64;

/** Fills parts one after the other. */
class PartWriter
{
public:
  explicit PartWriter(ConfigVersion aVersion)
    : version_(aVersion)
  {
    Begin();
  }

  ConfigMessage& Reserve(std::size_t aBytes)
  {
    if (used_ > 0 && used_ + aBytes > kMaxConfigPartBytes) {
      Begin();
    }
    used_ += aBytes;
    return parts_.back();
  }

  std::vector<ConfigMessage> Finish()
  {
    parts_.back().last = true;
    return std::move(parts_);
  }

private:
  void Begin()
  {
    ConfigMessage part;
    part.version = version_;
    part.part = static_cast<std::uint32_t>(parts_.size());
    parts_.push_back(std::move(part));
    used_ = 0;
  }

  ConfigVersion version_;
  std::vector<ConfigMessage> parts_;
  std::size_t used_ = 0;
};

} // namespace

std::vector<ConfigMessage> SplitConfig(const HeldConfig& aConfig,
                                       const HeldHashes& aHeld)
{
  const ConfigHead& head = aConfig.loaded.head;
  PartWriter writer(head.version);
  for (const auto& [name, entry] : head.entries) {
    writer.Reserve(name.value().size() + kEntryOverhead)
      .entries.push_back({ name.value(), entry.hash.value() });
  }
  for (const auto& [name, entry] : head.entries) {
    const auto held = aHeld.find(name);
    if (held == aHeld.end() || held->second != entry.hash) {
      const std::string& bytes = *aConfig.blobs.at(name);
      writer.Reserve(name.value().size() + bytes.size() + kEntryOverhead)
        .blobs.push_back({ name.value(), WireBytes(bytes) });
    }
  }
  return writer.Finish();
}

} // namespace lacewing
