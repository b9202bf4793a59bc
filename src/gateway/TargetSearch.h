#ifndef GATEWAY_TARGETSEARCH_H
#define GATEWAY_TARGETSEARCH_H

#include "balance/Candidate.h"
#include "balance/ChoiceContext.h"
#include "gateway/FoundTarget.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"

#include <asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** One search of a TargetScout: rounds of questions to the best candidates. */
class TargetSearch : public std::enable_shared_from_this<TargetSearch>
{
public:
  using Handler = std::function<void(std::optional<FoundTarget>)>;

  TargetSearch(TrafficState& aState,
               const ServiceId& aService,
               const ChoiceContext& aContext,
               Handler aHandler);

  /** Ranks the service's targets without aExcept; false when none is left. */
  bool Prepare(const std::set<TargetId>& aExcept);

  /** Asks the next candidates, or settles for what was found. */
  void NextRound();

  /** Ends the search without calling the handler. */
  void Drop();

  bool Done() const { return done_; }

private:
  struct Question
  {
    FleetTarget target;
    std::unique_ptr<HttpConnection> connection;
    bool answered = false;
  };

  static bool IsAny(const FleetTarget&) { return true; }
  static bool IsFar(const FleetTarget& aTarget) { return !aTarget.local; }

  Candidate MakeCandidate(const FleetTarget& aTarget,
                          const LoadSnapshot& aLoad);
  /** Asks the best that fit and were not asked yet. */
  void AskNext(std::size_t aCount, bool (*aFits)(const FleetTarget&));
  void Ask(const FleetTarget& aTarget);
  void ArmTimer();
  void OnAnswer(Question& aQuestion, const ExchangeResult& aResult);
  Choice Judge(const FleetTarget& aTarget);
  bool MayGet(const FleetTarget& aTarget);
  /** Whether the target has answered and meets aDemand. */
  bool Meets(TargetQuality aDemand, const Question& aQuestion);
  /** No target is good: takes the best of those that answered. */
  void Settle();
  void Take(Question& aQuestion);
  void Finish(std::optional<FoundTarget> aFound);
  /** Ends the search; late answers still bring their connections back. */
  void End();
  /** A target that has not answered by now takes no requests either. */
  void DropUnanswered();

  TrafficState& state_;
  const ServiceId service_;
  ChoiceContext context_;
  Handler handler_;
  asio::steady_timer timer_;
  /** Keeps the targets of ranked_. */
  std::shared_ptr<const FleetSnapshot> fleet_;
  /** Candidates that were not asked, the best first. */
  std::vector<const FleetTarget*> ranked_;
  unsigned rounds_ = 0;
  unsigned maxRounds_;
  std::string healthPath_;
  std::vector<std::unique_ptr<Question>> questions_;
  bool done_ = false;
};

} // namespace lacewing

#endif // GATEWAY_TARGETSEARCH_H
