#include "control/ConfigState.h"

#include "config/ConfigAssembler.h"

#include <utility>

namespace lacewing {

ConfigState::ConfigState(std::function<void()> aChanged)
  : changed_(std::move(aChanged))
{
}

ConfigVersion ConfigState::Version() const
{
  return held_ ? held_->loaded.head.version : ConfigVersion();
}

std::vector<ObjectName> ConfigState::Missing(const ConfigHead& aHead) const
{
  return ChangedObjects(held_ ? held_->loaded.head : ConfigHead(), aHead);
}

Outcome<void> ConfigState::Offer(const ConfigHead& aHead, BlobMap aBlobs)
{
  if (aHead.version <= Version()) {
    return Fail(ErrorKind::kConflict,
                "version " + std::to_string(aHead.version.value()) +
                  " is not newer than the one in force",
                "nothing needs to be done");
  }
  BOOST_OUTCOME_TRY(
    auto loaded,
    AssembleConfig(aHead, aBlobs, held_ ? &held_->loaded : nullptr));
  auto held = std::make_shared<HeldConfig>();
  held->loaded = std::move(loaded);
  for (const auto& [name, entry] : aHead.entries) {
    const auto blob = aBlobs.find(name);
    held->blobs[name] =
      blob == aBlobs.end()
        ? held_->blobs.at(name)
        : std::make_shared<const std::string>(std::move(blob->second));
  }
  held_ = std::move(held);
  changed_();
  return outcome::success();
}

} // namespace lacewing
