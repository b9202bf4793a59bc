#ifndef NET_ADMINSOURCE_H
#define NET_ADMINSOURCE_H

#include <string>

namespace lacewing {

/** What a daemon shows on its admin pages. */
class AdminSource
{
public:
  virtual ~AdminSource() = default;

  /** Why the daemon takes no work, in a few words; empty when it is ready. */
  virtual std::string NotReady() const = 0;

  /** A page in the text exposition format. */
  virtual std::string Metrics() const = 0;

  /** The daemon's state as JSON. */
  virtual std::string Dump() const = 0;
};

} // namespace lacewing

#endif // NET_ADMINSOURCE_H
