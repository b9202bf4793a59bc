#include "control/ConfigExchange.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

ConfigExchange::ConfigExchange(const Clock& aClock,
                               const ControlTerms& aTerms,
                               ConfigState& aConfigs,
                               PeerLinks& aLinks)
  : clock_(aClock)
  , terms_(aTerms)
  , configs_(aConfigs)
  , links_(aLinks)
{
}

void ConfigExchange::OnPeerVersion(LinkId aLink, ConfigVersion aVersion)
{
  versions_[aLink] = aVersion;
  Ask();
}

void ConfigExchange::Ask()
{
  if (asked_ || versions_.empty()) {
    return;
  }
  const auto best = std::max_element(versions_.begin(),
                                     versions_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  if (best->second <= configs_.Version()) {
    return;
  }
  ConfigWantMessage want;
  want.version = configs_.Version();
  // A peer that is only a few versions ahead remembers what this one held.
  const bool recent =
    best->second.value() - want.version.value() < kRememberedVersions;
  const HeldConfig* held = configs_.InForce();
  if (held != nullptr && (!recent || listHeld_)) {
    for (const auto& [name, entry] : held->loaded.head.entries) {
      want.held.push_back({ name.value(), entry.hash.value() });
    }
  }
  asked_ = Asked{ best->first, clock_.Now() + terms_.configWantTime, {} };
  links_.Send(best->first, want);
}

void ConfigExchange::OnWant(LinkId aLink, const ConfigWantMessage& aWant)
{
  Want want{ aWant.version, {} };
  for (const ConfigEntry& entry : aWant.held) {
    want.held[ObjectName(entry.name)] = BlobHash(entry.hash);
  }
  const HeldHashes* remembered = history_.Find(want.version);
  if (want.held.empty() && remembered != nullptr) {
    want.held = *remembered;
  }
  if (want.version < configs_.Version()) {
    wants_.erase(aLink);
    Answer(aLink, want);
  } else {
    wants_[aLink] = std::move(want);
  }
}

void ConfigExchange::Answer(LinkId aLink, const Want& aWant)
{
  for (const ConfigMessage& part :
       SplitConfig(*configs_.InForce(), aWant.held)) {
    links_.Send(aLink, part);
  }
}

void ConfigExchange::OnPart(LinkId aLink, ConfigMessage aPart)
{
  if (!asked_ || asked_->link != aLink) {
    return;
  }
  asked_->until = clock_.Now() + terms_.configWantTime;
  auto whole = asked_->collector.Add(std::move(aPart));
  if (whole && !whole.value()) {
    return;
  }
  asked_.reset();
  Outcome<void> offered = outcome::success();
  if (whole) {
    EncodedConfig& config = *whole.value();
    offered = configs_.Offer(config.head, std::move(config.blobs));
  } else {
    offered = outcome::failure(whole.error());
  }
  // Objects are missing when the own version changed meanwhile or when the
  // peer knows other contents by that version.
  listHeld_ = !offered && offered.error().kind == ErrorKind::kNotFound;
  // An older version came when the store was faster than the peer.
  if (!offered && offered.error().kind != ErrorKind::kConflict) {
    ++refused_;
    Log(LogLevel::kWarning,
        "peer_config_refused",
        { { "host", links_.HelloOf(aLink)->host.value() },
          { "error", offered.error().ToString() } });
    // Its next heartbeat brings the version back for another attempt.
    versions_.erase(aLink);
  }
  Ask();
}

void ConfigExchange::OnClosed(LinkId aLink)
{
  versions_.erase(aLink);
  wants_.erase(aLink);
  if (asked_ && asked_->link == aLink) {
    asked_.reset();
    Ask();
  }
}

void ConfigExchange::OnChanged()
{
  history_.Add(configs_.InForce()->loaded.head);
  const auto wants = std::exchange(wants_, {});
  for (const auto& [link, want] : wants) {
    if (want.version < configs_.Version()) {
      Answer(link, want);
    } else {
      wants_.emplace(link, want);
    }
  }
}

void ConfigExchange::OnTimer()
{
  if (asked_ && asked_->until < clock_.Now()) {
    versions_.erase(asked_->link);
    asked_.reset();
    Ask();
  }
}

} // namespace lacewing
