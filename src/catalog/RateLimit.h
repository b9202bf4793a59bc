#ifndef CATALOG_RATELIMIT_H
#define CATALOG_RATELIMIT_H

namespace lacewing {

/** A limit of the requests that all hosts together run for a customer. */
struct RateLimit
{
  /** Requests per second; zero for no limit. */
  double perSecond = 0;
  /** Requests that may come at once in addition. */
  double burst = 0;

  bool IsSet() const { return perSecond > 0; }
};

} // namespace lacewing

#endif // CATALOG_RATELIMIT_H
