#include "fleet/HostDirectory.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace lacewing;

namespace {

/** A source that leaves each call open until the test answers it. */
class OpenCallSource final : public CatalogSource
{
public:
  void SetEvents(Events) override {}
  void Follow(WatchRole, const std::vector<StorePosition>&) override {}
  void ReadOnce() override {}
  void TryReach() override {}
  void NotePositions(const std::vector<StorePosition>&) override {}
  void RegisterHost(const PeerAddress&, DoneHandler aHandler) override
  {
    overlaps += done || listed ? 1 : 0;
    ++registrations;
    done = std::move(aHandler);
  }
  void ListHosts(ListHandler aHandler) override
  {
    overlaps += done || listed ? 1 : 0;
    ++lists;
    listed = std::move(aHandler);
  }

  void AnswerRegistration()
  {
    std::exchange(done, nullptr)(outcome::success());
  }
  void AnswerList()
  {
    std::exchange(listed, nullptr)(std::vector<PeerAddress>());
  }

  int registrations = 0;
  int lists = 0;
  /** Calls that were started while another one was running. */
  int overlaps = 0;
  DoneHandler done;
  ListHandler listed;
};

} // namespace

// Guards against a host that loses the answer to its search for hosts, and then
// never searches again, because the store came back from a copy meanwhile.
TEST_CASE("host directory: a new registration waits for the call in progress")
{
  asio::io_context context;
  OpenCallSource source;
  int found = 0;
  HostDirectory directory(
    context, HostIdentity(), source, [&](const auto&) { ++found; });
  directory.Find();
  directory.RegisterAgain();
  CHECK(source.registrations == 1);
  source.AnswerRegistration();
  // The first one may have been written before the return.
  CHECK(source.registrations == 2);
  source.AnswerRegistration();
  REQUIRE(source.lists == 1);
  directory.RegisterAgain();
  CHECK(source.registrations == 2);
  source.AnswerList();
  CHECK(found == 1);
  CHECK(source.registrations == 3);
  source.AnswerRegistration();
  CHECK(source.lists == 1);
  CHECK(source.overlaps == 0);
}
