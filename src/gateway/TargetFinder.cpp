#include "gateway/TargetFinder.h"

#include "gateway/TargetSearch.h"

#include <utility>

namespace lacewing {

TargetFinder::TargetFinder(TrafficState& aState)
  : state_(aState)
{
}

TargetFinder::~TargetFinder()
{
  if (search_) {
    search_->Cancel();
  }
}

bool TargetFinder::Find(const ServiceId& aService,
                        const ChoiceContext& aContext,
                        const std::set<TargetId>& aExcluded,
                        TargetGroup aGroup,
                        Handler aHandler)
{
  auto search = std::make_shared<TargetSearch>(
    state_, aService, aContext, std::move(aHandler));
  if (!search->Prepare(aExcluded, aGroup)) {
    return false;
  }
  search_ = search;
  search->NextRound();
  return true;
}

bool TargetFinder::Searching() const
{
  return search_ && !search_->Done();
}

} // namespace lacewing
