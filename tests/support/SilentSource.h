#ifndef TESTS_SUPPORT_SILENTSOURCE_H
#define TESTS_SUPPORT_SILENTSOURCE_H

#include "fleet/CatalogSource.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <utility>
#include <vector>

namespace lacewing {

/** A store that tells nothing; keeps what the host reports to it. */
class SilentSource final : public CatalogSource
{
public:
  explicit SilentSource(asio::io_context& aContext)
    : context_(aContext)
  {
  }

  void SetEvents(Events aEvents) override { events = std::move(aEvents); }
  void Follow(WatchRole aRole, const std::vector<StorePosition>&) override
  {
    role = aRole;
  }
  void ReadOnce() override {}
  void NotePositions(const std::vector<StorePosition>& aPositions) override
  {
    positions = aPositions;
  }
  /** The store answers a single read, but tells of no change. */
  void TryReach() override
  {
    asio::post(context_, [this] { events.onReachable(true); });
  }
  void RegisterHost(const PeerAddress&, DoneHandler) override {}
  void ListHosts(ListHandler) override {}

  Events events;
  std::vector<StorePosition> positions;
  WatchRole role = WatchRole::kNone;

private:
  asio::io_context& context_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SILENTSOURCE_H
