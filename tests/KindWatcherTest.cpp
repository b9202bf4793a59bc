#include "platform/KindWatcher.h"
#include "core/MonotonicClock.h"
#include "support/BusyThread.h"
#include "support/RunUntil.h"
#include "support/ScriptedTarget.h"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>

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

/** A list's page of one object; aMetadata is what its name stands in. */
std::string Page(const std::string& aMetadata, bool aMore)
{
  return OkResponse(R"({"items":[{"metadata":{)" + aMetadata +
                    R"(,"revision":4},"spec":{}}],"more":)" +
                    (aMore ? "true" : "false") + R"(,"store_revision":100})");
}

/** The changes that a watcher of a store with this script hands on first. */
CatalogChanges FirstChanges(ScriptedTarget& aStore)
{
  asio::io_context context(1);
  const MonotonicClock clock;
  std::optional<CatalogChanges> first;
  platform::KindWatcher::Events events;
  events.onChanges = [&](CatalogKind, const CatalogChanges& aChanges) {
    first = first ? first : aChanges;
  };
  events.onEra = [](StoreEra) {};
  events.onFailure = [] {};
  platform::KindWatcher watcher(
    context, clock, aStore.Address(), CatalogKind::kTarget, std::move(events));
  watcher.Start({});
  RunUntil(context, [&] { return first || aStore.Runs() > 100; });
  watcher.Stop();
  return first.value_or(CatalogChanges());
}

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

// Guards against a list that starts again and again, or breaks off, because the
// name to continue after is not the one that the store knows.
TEST_CASE("odd list: it continues after a name with any characters")
{
  const std::pair<const char*, const char*> names[] = {
    { "i-7f3a.91_c2~", "i-7f3a.91_c2~" },
    { "a b&c=d?e#f%", "a%20b%26c%3Dd%3Fe%23f%25" },
    { "\\r\\nX: y", "%0D%0AX%3A%20y" },
    { "\xc3\xa9", "%C3%A9" },
    { "\xff\xfe", "%FF%FE" },
  };
  for (const auto& [name, query] : names) {
    CAPTURE(name);
    const std::string next = std::string("?after=") + query + " HTTP/1.1\r\n";
    ScriptedTarget store([&](int, const std::string& aRequest) {
      return aRequest.find(next) == std::string::npos
               ? Page(R"("name":")" + std::string(name) + '"', true)
               : Page(R"("name":"z")", false);
    });
    const CatalogChanges changes = FirstChanges(store);
    CHECK(changes.full);
    CHECK(changes.items.size() == 2);
  }
}

// Guards against a list without end, and against one that passes for complete
// although it broke off, which would drop all targets of its later pages.
TEST_CASE("odd list: pages without a readable name end it as incomplete")
{
  for (const char* first : { R"("name":"a")", R"("name":7)" }) {
    CAPTURE(first);
    ScriptedTarget store([&](int aRun, const std::string&) {
      return Page(aRun == 1 ? first : R"("name":7)", true);
    });
    const CatalogChanges changes = FirstChanges(store);
    CHECK(store.Runs() < 10);
    CHECK(changes.position.revision == Revision(100));
    CHECK_FALSE(changes.full);
  }
}

// Guards against a watch that fails again and again, because the changes since
// its revision are more than a host takes in one response.
TEST_CASE("odd list: a host lists anew when a watch's response is too large")
{
  std::atomic<int> lists{ 0 };
  ScriptedTarget store([&](int, const std::string& aRequest) {
    if (aRequest.find("watch=") == std::string::npos) {
      ++lists;
      return Page(R"("name":"a")", false);
    }
    return OkResponse(std::string(9U << 20U, ' '));
  });
  asio::io_context context(1);
  const MonotonicClock clock;
  platform::KindWatcher::Events events;
  events.onChanges = [](CatalogKind, const CatalogChanges&) {};
  events.onEra = [](StoreEra) {};
  events.onFailure = [] {};
  platform::KindWatcher watcher(
    context, clock, store.Address(), CatalogKind::kTarget, std::move(events));
  watcher.Start({});
  CHECK(RunUntil(context, [&] { return lists > 1; }));
}

// Guards against a list whose pages never end: the host would keep them all and
// run out of memory, and its callers' requests would end with it.
TEST_CASE("odd list: pages without end are dropped and listed anew")
{
  constexpr std::size_t kPageBytes = 1U << 20U;
  std::atomic<int> lists{ 0 };
  std::atomic<int> pages{ 0 };
  const std::string padding(kPageBytes, 'x');
  ScriptedTarget store([&](int aRun, const std::string& aRequest) {
    ++(aRequest.find("?after=") == std::string::npos ? lists : pages);
    return Page(R"("name":"n)" + std::to_string(aRun) + R"(","pad":")" +
                  padding + '"',
                true);
  });
  asio::io_context context(1);
  const MonotonicClock clock;
  platform::KindWatcher::Events events;
  events.onChanges = [](CatalogKind, const CatalogChanges&) {};
  events.onEra = [](StoreEra) {};
  events.onFailure = [] {};
  platform::KindWatcher watcher(
    context, clock, store.Address(), CatalogKind::kTarget, std::move(events));
  watcher.Start({});
  CHECK(RunUntil(context, [&] { return lists > 1; }));
  CHECK(pages < 40);
  watcher.Stop();
}
