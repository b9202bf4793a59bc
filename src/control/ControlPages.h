#ifndef CONTROL_CONTROLPAGES_H
#define CONTROL_CONTROLPAGES_H

#include "lacewing/Clock.h"
#include "net/HttpRequest.h"
#include "net/HttpResponse.h"

namespace lacewing {

class ControlState;

/** The admin pages of design section 5.5. */
class ControlPages
{
public:
  ControlPages(const Clock& aClock, const ControlState& aState)
    : clock_(aClock)
    , state_(aState)
  {
  }

  HttpResponse Answer(const HttpRequest& aRequest) const;

private:
  HttpResponse Health() const;
  HttpResponse Ready() const;
  HttpResponse Metrics() const;
  HttpResponse Dump() const;
  HttpResponse Version() const;

  struct Page;
  static const Page kPages[];

  const Clock& clock_;
  const ControlState& state_;
};

} // namespace lacewing

#endif // CONTROL_CONTROLPAGES_H
