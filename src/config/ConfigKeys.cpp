#include "config/ConfigKeys.h"

#include <charconv>

namespace lacewing {

ObjectKey HeadKey()
{
  return ObjectKey("config/head");
}

std::string BlobPrefix()
{
  return "config/blob/";
}

ObjectKey BlobKey(const ObjectName& aName, const BlobHash& aHash)
{
  return ObjectKey(BlobPrefix() + aName.value() + "/" + aHash.value());
}

std::string RetiredPrefix()
{
  return "config/retired/";
}

ObjectKey RetiredKey(ConfigVersion aVersion)
{
  return ObjectKey(RetiredPrefix() + std::to_string(aVersion.value()));
}

std::optional<ConfigVersion> VersionOfRetiredKey(const ObjectKey& aKey)
{
  const std::string& text = aKey.value();
  const std::string prefix = RetiredPrefix();
  if (text.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] =
    std::from_chars(text.data() + prefix.size(), last, version);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return ConfigVersion(version);
}

} // namespace lacewing
