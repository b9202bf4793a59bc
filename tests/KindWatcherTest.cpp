#include "platform/KindWatcher.h"
#include "core/MonotonicClock.h"
#include "support/BusyThread.h"
#include "support/RunUntil.h"
#include "support/ScriptedTarget.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

// Longer than the lag that a watch may have behind the peers.
constexpr auto kBusy = 600ms;

/** Lists at revision 100; the watch from there returns 101 after 200 ms. */
class OneChangeStore
{
public:
  OneChangeStore()
    : server_(
        [this](int, const std::string& aRequest) { return Respond(aRequest); })
  {
  }

  Endpoint Address() const { return server_.Address(); }
  int WatchesFrom100() const { return watchesFrom100_; }

private:
  std::string Respond(const std::string& aRequest)
  {
    if (aRequest.find("watch=") == std::string::npos) {
      return OkResponse(R"({"items":[],"more":false,"store_revision":100})");
    }
    if (aRequest.find("watch=100&") != std::string::npos) {
      ++watchesFrom100_;
      std::this_thread::sleep_for(200ms);
    } else {
      std::this_thread::sleep_for(1s);
    }
    return OkResponse(R"({"events":[],"store_revision":101})");
  }

  std::atomic<int> watchesFrom100_{ 0 };
  ScriptedTarget server_;
};

} // namespace

// Guards against dropping a watch's answer that has arrived, which costs
// another call, because the thread was busy when the watch seemed to be behind.
TEST_CASE("kind watcher: an answer that has arrived is not taken for missing")
{
  asio::io_context context(1);
  const MonotonicClock clock;
  OneChangeStore store;
  StorePosition reached;
  platform::KindWatcher::Events events;
  events.onChanges = [&](CatalogKind, const CatalogChanges& aChanges) {
    reached = aChanges.position;
  };
  events.onEra = [](StoreEra) {};
  events.onFailure = [] {};
  platform::KindWatcher watcher(
    context, clock, store.Address(), CatalogKind::kTarget, std::move(events));
  watcher.Start({});
  REQUIRE(RunUntil(context, [&] { return store.WatchesFrom100() == 1; }));
  watcher.NotePosition({ StoreEra(), Revision(101) });
  KeepBusy(context, kBusy);
  CHECK(RunUntil(context, [&] { return reached.revision == Revision(101); }));
  RunUntil(context, [end = std::chrono::steady_clock::now() + 300ms] {
    return std::chrono::steady_clock::now() > end;
  });
  CHECK(store.WatchesFrom100() == 1);
}
