#ifndef ENTRY_ADMINPAGES_H
#define ENTRY_ADMINPAGES_H

#include "entry/EntrySettings.h"
#include "entry/EntryState.h"
#include "net/HttpRequest.h"
#include "net/HttpResponse.h"

namespace lacewing {

/** The pages of design section 5.5, made from the control thread's state. */
class AdminPages
{
public:
  AdminPages(const EntrySettings& aSettings, const EntryState& aState)
    : settings_(aSettings)
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

  const EntrySettings& settings_;
  const EntryState& state_;
};

} // namespace lacewing

#endif // ENTRY_ADMINPAGES_H
