#ifndef QUOTA_ALLOWANCEHOSTS_H
#define QUOTA_ALLOWANCEHOSTS_H

#include "lacewing/CustomerId.h"
#include "quota/AllowanceView.h"

#include <optional>

namespace lacewing {

/** The owners of customers as this host sees them. */
class AllowanceHosts
{
public:
  explicit AllowanceHosts(HostAddress aSelf);

  /** Returns whether an owner or this host's share may have changed. */
  bool Update(AllowanceView aView);

  const HostAddress& Self() const { return self_; }

  /** Empty if no owner is known, or if it is this host before it may own. */
  std::optional<HostAddress> OwnerOf(const CustomerId& aCustomer) const;
  bool Owns(const CustomerId& aCustomer) const;

  /** The part of each limit that this host may grant as the owner, 0 to 1. */
  double Share() const;

  /** Live hosts and unresponsive ones that may still run. */
  unsigned Total() const { return view_.hosts + view_.unresponsive; }

private:
  HostAddress self_;
  AllowanceView view_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEHOSTS_H
