#include "load/LoadExperiment.h"

#include "core/JsonProperties.h"

#include <utility>

namespace lacewing {

namespace {

/** Takes the array aName of objects out of aJson. */
template<class Item, class Table>
Outcome<std::vector<Item>> TakeItems(nlohmann::json& aJson,
                                     const char* aName,
                                     const Table& aTable)
{
  std::vector<Item> items;
  const auto found = aJson.find(aName);
  if (found == aJson.end()) {
    return items;
  }
  for (const nlohmann::json& json : *found) {
    Item item;
    BOOST_OUTCOME_TRY(SetProperties(item, aTable, json));
    items.push_back(std::move(item));
  }
  aJson.erase(found);
  return items;
}

Outcome<void> Check(const LoadExperiment& aExperiment)
{
  const auto fail = [](const char* aWhat, const char* aRemedy) {
    return Fail(ErrorKind::kInvalidSettings, aWhat, aRemedy);
  };
  if (aExperiment.entries.empty() || aExperiment.phases.empty() ||
      aExperiment.kinds.empty()) {
    return fail("an entry, a phase or a request is missing",
                "give at least one [[entry]], [[phase]] and [[request]]");
  }
  for (const LoadPhase& phase : aExperiment.phases) {
    if (!(phase.rate > 0) || phase.duration <= Duration::zero() ||
        phase.burst <= Duration::zero() || phase.burst > phase.burstPeriod) {
      return fail(
        "a phase has no rate, no length, or a burst that does not fit",
        "give a positive rate and duration_ms, and burst_ms up to "
        "burst_period_ms");
    }
  }
  // Each slice takes about 20 KB a thread.
  constexpr std::size_t kMaxSlices = 5000;
  if (aExperiment.settings.slice <= Duration::zero() ||
      aExperiment.SliceCount() > kMaxSlices) {
    return fail("the slices are too short for the experiment's length",
                "give a larger slice_ms");
  }
  for (const RequestKind& kind : aExperiment.kinds) {
    if (!(kind.weight > 0) || kind.path.empty() || kind.path[0] != '/') {
      return fail("a request has no weight or no absolute path",
                  "give a positive weight and a path that begins with /");
    }
  }
  return outcome::success();
}

} // namespace

Outcome<std::shared_ptr<const LoadExperiment>> LoadExperiment::Make(
  nlohmann::json aJson)
{
  LoadExperiment made;
  BOOST_OUTCOME_TRY(made.entries,
                    TakeItems<EntryAddress>(aJson, "entry", kEntryProperties));
  BOOST_OUTCOME_TRY(made.phases,
                    TakeItems<LoadPhase>(aJson, "phase", kPhaseProperties));
  BOOST_OUTCOME_TRY(made.kinds,
                    TakeItems<RequestKind>(aJson, "request", kKindProperties));
  BOOST_OUTCOME_TRY(
    made.timeline,
    TakeItems<TimelineEvent>(aJson, "timeline", kEventProperties));
  BOOST_OUTCOME_TRY(SetProperties(made.settings, kLoadSettings, aJson));
  BOOST_OUTCOME_TRY(Check(made));
  return std::make_shared<const LoadExperiment>(std::move(made));
}

Duration LoadExperiment::Length() const
{
  Duration length{};
  for (const LoadPhase& phase : phases) {
    length += phase.duration;
  }
  return length;
}

std::size_t LoadExperiment::SliceCount() const
{
  return SliceOf(Length() - Duration(1)) + 1;
}

std::size_t LoadExperiment::SliceOf(Duration aOffset) const
{
  return static_cast<std::size_t>(aOffset / settings.slice);
}

} // namespace lacewing
