#include "core/ManualClock.h"
#include "decision/LeaseKeeper.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using namespace lacewing;

namespace {

constexpr Duration kStep = std::chrono::seconds(3);
constexpr unsigned kDepth = 8;

/** Mechanisms that the test switches off. */
struct Faults
{
  bool unconditional = false;
  bool impatient = false;
};

/**
 * Two candidates and a store, driven by choices. Time moves in steps of a
 * third of the lease time; each store call is answered, loses its answer, or
 * takes effect later.
 */
class Model
{
public:
  static constexpr unsigned kChoices = 9;

  explicit Model(const Faults& aFaults)
    : faults_(aFaults)
    , first_(clock_, Terms(1), HostId("a"), Incarnation(1))
    , second_(clock_,
              Terms(aFaults.impatient ? 3 : 1),
              HostId("b"),
              Incarnation(1))
  {
    calls_[0] = first_.OnRank(0);
    calls_[1] = second_.OnRank(0);
  }

  /** False when the choice is not possible now. */
  bool Choose(unsigned aChoice)
  {
    if (aChoice < 6) {
      return Answer(aChoice / 3, aChoice % 3);
    }
    if (aChoice == 6) {
      return ApplyLate();
    }
    // The first host is paused for the step when the choice is 8.
    clock_.Advance(kStep);
    for (unsigned host = aChoice == 8 ? 1 : 0; host < 2; ++host) {
      const auto timer = Keeper(host).NextTimer();
      if (!calls_[host] && timer && *timer <= clock_.Now()) {
        calls_[host] = Keeper(host).OnTimer();
      }
    }
    return true;
  }

  bool TwoHolders() const { return first_.Holds() && second_.Holds(); }
  bool Holder() const { return first_.Holds() || second_.Holds(); }

private:
  static LeaseTerms Terms(int aDivisor)
  {
    LeaseTerms terms;
    terms.leaseTime = 3 * kStep / aDivisor;
    terms.renewTime = kStep;
    terms.retryTime = Duration(0);
    terms.rankDelay = Duration(0);
    terms.margin = { BasisPoints(0), Duration(0) };
    return terms;
  }

  LeaseKeeper& Keeper(unsigned aHost) { return aHost == 0 ? first_ : second_; }

  bool Answer(unsigned aHost, unsigned aHow)
  {
    if (!calls_[aHost]) {
      return false;
    }
    const auto call = *calls_[aHost];
    LeaseKeeper& keeper = Keeper(aHost);
    const auto* write = std::get_if<LeaseWrite>(&call);
    if (write == nullptr) {
      if (aHow == 2) {
        return false;
      }
      calls_[aHost] =
        aHow == 0 ? keeper.OnRead(record_, Tag()) : keeper.OnReadFailed();
    } else if (aHow == 2) {
      late_.push_back(*write);
      calls_[aHost] = keeper.OnWriteUnknown();
    } else {
      const bool accepted = Apply(*write);
      calls_[aHost] = aHow == 1  ? keeper.OnWriteUnknown()
                      : accepted ? keeper.OnWritten(Tag())
                                 : keeper.OnConflict();
    }
    return true;
  }

  bool ApplyLate()
  {
    if (late_.empty()) {
      return false;
    }
    Apply(late_.front());
    late_.pop_front();
    return true;
  }

  bool Apply(const LeaseWrite& aWrite)
  {
    const bool met =
      aWrite.currentTag ? record_ && *aWrite.currentTag == Tag() : !record_;
    if (!met && !faults_.unconditional) {
      return false;
    }
    record_ = aWrite.record;
    ++version_;
    return true;
  }

  ObjectTag Tag() const
  {
    return record_ ? ObjectTag(std::to_string(version_)) : ObjectTag();
  }

  Faults faults_;
  ManualClock clock_;
  LeaseKeeper first_;
  LeaseKeeper second_;
  LeaseAction calls_[2];
  std::optional<LeaseRecord> record_;
  int version_ = 0;
  std::deque<LeaseWrite> late_;
};

struct Search
{
  Faults faults;
  std::vector<unsigned> choices;
  std::uint64_t states = 0;
  std::uint64_t held = 0;
  bool found = false;

  /** Tries every sequence of choices; each is replayed from the start. */
  void Run(unsigned aDepth)
  {
    for (unsigned choice = 0; choice < Model::kChoices && !found; ++choice) {
      Model model(faults);
      for (const unsigned earlier : choices) {
        model.Choose(earlier);
      }
      if (!model.Choose(choice)) {
        continue;
      }
      ++states;
      held += model.Holder() ? 1 : 0;
      found = model.TwoHolders();
      if (aDepth > 1 && !found) {
        choices.push_back(choice);
        Run(aDepth - 1);
        choices.pop_back();
      }
    }
  }
};

} // namespace

// Guards against a schedule of answers, lost answers, late writes and pauses
// in which both candidates hold the lease; random tests may miss a rare one.
TEST_CASE("no schedule of the small lease model has two holders")
{
  Search search;
  search.Run(kDepth);
  CHECK_FALSE(search.found);
  CHECK(search.held > 0);
  MESSAGE("schedules searched: ", search.states);
}

// Without its mechanisms the search has to find two holders.
TEST_CASE("the small lease model finds planted faults")
{
  Search search;
  SUBCASE("unconditional writes")
  {
    search.faults.unconditional = true;
  }
  SUBCASE("impatient candidate")
  {
    search.faults.impatient = true;
  }
  search.Run(kDepth);
  CHECK(search.found);
}
