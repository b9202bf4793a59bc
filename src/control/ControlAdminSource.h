#ifndef CONTROL_CONTROLADMINSOURCE_H
#define CONTROL_CONTROLADMINSOURCE_H

#include "lacewing/Clock.h"
#include "net/AdminSource.h"

namespace lacewing {

class ControlState;

/** Shows the state of controld. */
class ControlAdminSource final : public AdminSource
{
public:
  ControlAdminSource(const Clock& aClock, const ControlState& aState)
    : clock_(aClock)
    , state_(aState)
  {
  }

  std::string NotReady() const override;
  std::string Metrics() const override;
  std::string Dump() const override;

private:
  const Clock& clock_;
  const ControlState& state_;
};

} // namespace lacewing

#endif // CONTROL_CONTROLADMINSOURCE_H
