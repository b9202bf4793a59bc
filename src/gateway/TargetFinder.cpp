#include "gateway/TargetFinder.h"

#include "gateway/TargetSearch.h"

#include <utility>

namespace lacewing {

TargetScout::TargetScout(TrafficState& aState)
  : state_(aState)
{
}

TargetScout::~TargetScout()
{
  if (search_) {
    search_->Drop();
  }
}

bool TargetScout::Find(const ServiceId& aService,
                       const ChoiceContext& aContext,
                       const std::set<TargetId>& aExcept,
                       Handler aHandler)
{
  auto search = std::make_shared<TargetSearch>(
    state_, aService, aContext, std::move(aHandler));
  if (!search->Prepare(aExcept)) {
    return false;
  }
  search_ = search;
  search->NextRound();
  return true;
}

bool TargetScout::Searching() const
{
  return search_ && !search_->Done();
}

} // namespace lacewing
