#include "fleet/PullPlan.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace lacewing;

namespace {

using std::chrono::milliseconds;

std::vector<StorePosition> At(std::uint64_t aRevision)
{
  return { { StoreEra(1), Revision(aRevision) },
           { StoreEra(1), Revision(1) },
           { StoreEra(1), Revision(1) } };
}

/** The plan of a host at revision 1, with a clock that the test sets. */
class PlannedPulls
{
public:
  void Hear(const std::string& aHost, std::uint64_t aRevision)
  {
    plan.NotePeer({ HostId(aHost), ZoneId("z"), "127.0.0.1", 7000 },
                  At(aRevision),
                  clock.Now());
  }

  /** The peer to ask now, or an empty name. */
  std::string Begin()
  {
    const auto peer = plan.Begin(At(1), clock.Now());
    return peer ? peer->host.value() : "";
  }

  void End(const std::string& aHost, bool aSucceeded)
  {
    plan.End(HostId(aHost), aSucceeded, clock.Now());
  }

  ManualClock clock;
  PullPlan plan;
};

} // namespace

// Guards against pulls from peers that have nothing new.
TEST_CASE("pull plan: only peers that are ahead are asked")
{
  PlannedPulls pulls;
  pulls.Hear("a", 1);
  CHECK(pulls.Begin().empty());
  pulls.Hear("b", 2);
  CHECK(pulls.Begin() == "b");
}

// Guards against several pulls of the same changes while peers answer in time.
TEST_CASE("pull plan: a second peer is asked only when the first is late")
{
  PlannedPulls pulls;
  pulls.Hear("a", 2);
  pulls.Hear("b", 2);
  const std::string first = pulls.Begin();
  pulls.clock.Advance(PullPlan::kPatience - milliseconds(1));
  CHECK(pulls.Begin().empty());
  pulls.clock.Advance(milliseconds(1));
  const std::string second = pulls.Begin();
  CHECK_FALSE(second.empty());
  CHECK(second != first);
}

// Guards against a change that is kept back for the time limit of a pull by
// each peer that does not answer (CONFIG).
TEST_CASE("pull plan: silent peers cost their patience and no more")
{
  PlannedPulls pulls;
  for (const char* host : { "a", "b", "c", "d", "e", "f" }) {
    pulls.Hear(host, 2);
  }
  std::set<std::string> asked;
  for (std::size_t i = 0; i < PullPlan::kMaxPulls; ++i) {
    asked.insert(pulls.Begin());
    pulls.clock.Advance(PullPlan::kPatience);
  }
  CHECK(asked.size() == PullPlan::kMaxPulls);
  CHECK(asked.count("") == 0);
  // Four silent peers are enough to be waited for.
  CHECK(pulls.Begin().empty());
}

// Guards against a silent peer that is asked first again at the next change,
// though its heartbeats are the latest ones.
TEST_CASE("pull plan: a peer that failed is asked after the others")
{
  PlannedPulls pulls;
  pulls.Hear("mute", 2);
  CHECK(pulls.Begin() == "mute");
  pulls.clock.Advance(milliseconds(700));
  pulls.End("mute", false);
  pulls.Hear("sound", 2);
  pulls.clock.Advance(milliseconds(300));
  pulls.Hear("mute", 2);
  CHECK(pulls.Begin() == "sound");
  pulls.End("sound", true);
}

// Guards against a host that gives up the only peer that has the change, and
// against asking it in a loop while it refuses connections.
TEST_CASE("pull plan: the only peer is asked again after a pause")
{
  PlannedPulls pulls;
  pulls.Hear("a", 2);
  CHECK(pulls.Begin() == "a");
  pulls.End("a", false);
  CHECK(pulls.Begin().empty());
  pulls.clock.Advance(milliseconds(200));
  CHECK(pulls.Begin() == "a");
}

// Guards against waiting for peers that stopped long ago.
TEST_CASE("pull plan: peers that are no longer heard are not asked")
{
  PlannedPulls pulls;
  pulls.Hear("a", 2);
  pulls.clock.Advance(milliseconds(3500));
  CHECK(pulls.Begin().empty());
  CHECK(pulls.plan.PositionsOf(HostId("a")).empty());
}
