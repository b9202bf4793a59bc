#ifndef ENTRY_ENTRYADMINSOURCE_H
#define ENTRY_ENTRYADMINSOURCE_H

#include "entry/EntrySettings.h"
#include "entry/EntryState.h"
#include "net/AdminSource.h"

namespace lacewing {

/** Shows the control thread's state of entryd. */
class EntryAdminSource final : public AdminSource
{
public:
  EntryAdminSource(const EntrySettings& aSettings, const EntryState& aState)
    : settings_(aSettings)
    , state_(aState)
  {
  }

  std::string NotReady() const override;
  std::string Metrics() const override;
  std::string Dump() const override;

private:
  const EntrySettings& settings_;
  const EntryState& state_;
};

} // namespace lacewing

#endif // ENTRY_ENTRYADMINSOURCE_H
