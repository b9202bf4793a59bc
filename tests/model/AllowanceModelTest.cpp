#include "support/AllowanceModel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace lacewing;

namespace {

constexpr unsigned kDepth = 6;

struct Search
{
  AllowanceFaults faults;
  std::vector<unsigned> choices;
  std::uint64_t schedules = 0;
  unsigned most = 0;

  /** Tries every sequence of choices; each is replayed from the start. */
  void Run(unsigned aDepth)
  {
    for (unsigned choice = 0;
         choice < AllowanceModel::kChoices && most <= AllowanceModel::kBound;
         ++choice) {
      AllowanceModel model(faults);
      for (const unsigned earlier : choices) {
        model.Choose(earlier);
      }
      if (!model.Choose(choice)) {
        continue;
      }
      ++schedules;
      most = std::max(most, model.MostSpent());
      if (aDepth > 1) {
        choices.push_back(choice);
        Run(aDepth - 1);
        choices.pop_back();
      }
    }
  }
};

} // namespace

// Guards against a schedule of lost, repeated and late messages, a pause and a
// change of the owner that lets more requests through than the limit.
TEST_CASE("allowance: no schedule of the small model exceeds the limit")
{
  Search search;
  search.Run(kDepth);
  CHECK(search.most <= AllowanceModel::kBound);
  // The search uses the burst that was spent at the start and one more.
  CHECK(search.most >= 12);
  MESSAGE("schedules searched: ", search.schedules);
  MESSAGE("most in a window: ", search.most);
}

// Without its mechanisms the search has to find more than the limit.
TEST_CASE("allowance: the small model finds planted faults")
{
  Search search;
  SUBCASE("a new owner starts with a full bucket")
  {
    search.faults.fullNewOwner = true;
  }
  SUBCASE("a host counts a repeated reply twice")
  {
    search.faults.countsRepeatedReplies = true;
  }
  SUBCASE("an owner does not notice its pause")
  {
    search.faults.unnoticedPause = true;
  }
  search.Run(kDepth);
  CHECK(search.most > AllowanceModel::kBound);
}
