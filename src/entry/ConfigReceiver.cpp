#include "entry/ConfigReceiver.h"

#include "config/ConfigAssembler.h"

#include <utility>

namespace lacewing {

namespace {

// 580 services take about 2.4 MB (design section 4.1); ten times that.
constexpr ByteCount kMaxConfigBytes(24U << 20U);

auto Refuse(const std::string& aWhat)
{
  return Fail(ErrorKind::kInvalidMessage,
              aWhat,
              "the configuration in force stays; check controld's release");
}

} // namespace

Outcome<bool> ConfigReceiver::OnPart(const ConfigMessage& aPart)
{
  const Outcome<void> collected = Collect(aPart);
  if (!collected) {
    Reset();
    return outcome::failure(collected.error());
  }
  if (!aPart.last) {
    return false;
  }
  const ConfigHead head = std::exchange(head_, {});
  const BlobMap blobs = std::exchange(blobs_, {});
  Reset();
  if (head.version <= current_.head.version) {
    return false;
  }
  BOOST_OUTCOME_TRY(
    auto loaded,
    AssembleConfig(head, blobs, current_.configuration ? &current_ : nullptr));
  current_ = std::move(loaded);
  return true;
}

Outcome<void> ConfigReceiver::Collect(const ConfigMessage& aPart)
{
  if (aPart.part == 0) {
    Reset();
    head_.version = aPart.version;
  } else if (aPart.part != nextPart_ || aPart.version != head_.version) {
    return Refuse("a part of the configuration is missing");
  }
  ++nextPart_;
  for (const ConfigEntry& entry : aPart.entries) {
    size_ += ByteCount(entry.name.size() + entry.hash.size());
    HeadEntry& kept = head_.entries[ObjectName(entry.name)];
    kept.hash = BlobHash(entry.hash);
    kept.key = ObjectKey(entry.name);
  }
  for (const ConfigBlob& blob : aPart.blobs) {
    size_ += ByteCount(blob.name.size() + blob.bytes.value().size());
    blobs_[ObjectName(blob.name)] = blob.bytes.value();
  }
  if (size_ > kMaxConfigBytes) {
    return Refuse("the configuration exceeds " +
                  std::to_string(kMaxConfigBytes.value()) + " bytes");
  }
  return outcome::success();
}

void ConfigReceiver::Reset()
{
  head_ = ConfigHead();
  blobs_.clear();
  size_ = ByteCount();
  nextPart_ = 0;
}

ConfigWantMessage ConfigReceiver::Want() const
{
  ConfigWantMessage want;
  want.version = current_.head.version;
  for (const auto& [name, entry] : current_.head.entries) {
    want.held.push_back({ name.value(), entry.hash.value() });
  }
  return want;
}

} // namespace lacewing
