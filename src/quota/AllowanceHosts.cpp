#include "quota/AllowanceHosts.h"

#include "quota/AllowanceOwner.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

bool AreSame(const HostAddress& aLeft, const HostAddress& aRight)
{
  return aLeft.host == aRight.host && aLeft.address == aRight.address;
}

bool HaveSameSpeakers(const ZoneSpeakers& aLeft, const ZoneSpeakers& aRight)
{
  return aLeft.zone == aRight.zone && std::equal(aLeft.speakers.begin(),
                                                 aLeft.speakers.end(),
                                                 aRight.speakers.begin(),
                                                 aRight.speakers.end(),
                                                 &AreSame);
}

} // namespace

AllowanceHosts::AllowanceHosts(HostAddress aSelf)
  : self_(std::move(aSelf))
{
}

bool AllowanceHosts::Update(AllowanceView aView)
{
  const double share = Share();
  const bool sameZones = std::equal(aView.zones.begin(),
                                    aView.zones.end(),
                                    view_.zones.begin(),
                                    view_.zones.end(),
                                    &HaveSameSpeakers);
  const bool sameSettled = aView.settled == view_.settled;
  view_ = std::move(aView);
  return !sameZones || !sameSettled || share != Share();
}

std::optional<HostAddress> AllowanceHosts::OwnerOf(
  const CustomerId& aCustomer) const
{
  const HostAddress* owner = AllowanceOwnerOf(aCustomer, view_.zones);
  if (owner == nullptr || (owner->host == self_.host && !view_.settled)) {
    return std::nullopt;
  }
  return *owner;
}

bool AllowanceHosts::Owns(const CustomerId& aCustomer) const
{
  const auto owner = OwnerOf(aCustomer);
  return owner && owner->host == self_.host;
}

double AllowanceHosts::Share() const
{
  const double hosts = std::max(view_.hosts, 1U);
  return hosts / (hosts + view_.unresponsive);
}

} // namespace lacewing
