#ifndef NET_ADMINPAGES_H
#define NET_ADMINPAGES_H

#include "net/AdminSource.h"
#include "net/HttpRequest.h"
#include "net/HttpResponse.h"

#include <memory>
#include <string>

namespace lacewing {

/** The admin pages that every daemon has, see design section 5.5. */
class AdminPages
{
public:
  AdminPages(std::string aProgram, std::unique_ptr<AdminSource> aSource);

  HttpResponse Answer(const HttpRequest& aRequest) const;

private:
  HttpResponse Health() const;
  HttpResponse Ready() const;
  HttpResponse Metrics() const;
  HttpResponse Dump() const;
  HttpResponse Version() const;

  struct Page;
  static const Page kPages[];

  std::string program_;
  std::unique_ptr<AdminSource> source_;
};

} // namespace lacewing

#endif // NET_ADMINPAGES_H
