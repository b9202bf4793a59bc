#ifndef REVIEW_LAB_TENANTLOAD_H
#define REVIEW_LAB_TENANTLOAD_H

#include "Lab.h"

/** One tenant's load, its limit, and the check of the rule QUOTA. */
namespace lab {

/** Attempts of consumers, in the order of their sending. */
struct Sent
{
  double at = 0;
  double answeredAt = 0;
  std::string id;
  std::string host;
  int status = 0;
};

/** A tenant's limit as the configuration and the settings state it. */
struct Limit
{
  double rate = 150;
  double burst = 20;
  double window = 5;
  double overshoot = 0.1;
  double slack = 20;

  /** Most requests that may run in a window. */
  double MostInWindow() const
  {
    return (rate * window + burst) * (1 + overshoot) + slack;
  }
  /** hot_tenant: 7.5 times the usual rate; a limit is 1.6 times that. */
  double Demand() const { return rate / 1.6 * 7.5; }
  /** The configuration with the tenant t1, whose key is k1. */
  std::string Configuration() const;
  /** What the settings say besides the bounds of Host. */
  static std::string Bounds();
};

/** The platform's balancer: leaves out a host after two misses. */
class Balancer
{
public:
  explicit Balancer(const std::vector<std::unique_ptr<Host>>& aHosts);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /** The host for a consumer's attempt. */
  const Host& HostFor(std::size_t aHash) const;

private:
  const std::vector<std::unique_ptr<Host>>& hosts_;
  std::vector<std::atomic<int>> misses_;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

/** The tenant's consumers; refused requests come back a few times. */
class Tenant
{
public:
  Tenant(const Balancer& aBalancer, const Limit& aLimit);
  Tenant(const Tenant&) = delete;
  Tenant& operator=(const Tenant&) = delete;

  /** Stops sending; returns all attempts. */
  std::vector<Sent> End();

private:
  struct Attempt
  {
    double until = 0;
    int retriesLeft = 0;
    std::size_t consumer = 0;
  };

  /** Takes what is due next; empty at the end. */
  std::optional<std::pair<double, Attempt>> Take();
  void Work();

  const Balancer& balancer_;
  const double demand_;
  std::mutex mutex_;
  bool stopped_ = false;
  double nextRequest_;
  std::size_t count_ = 0;
  std::multimap<double, Attempt> retries_;
  std::vector<Sent> sent_;
  std::vector<std::thread> workers_;
};

/** Servers of the service s1 in the zones z1 and z2, entered in the store. */
std::vector<std::unique_ptr<Server>> StartServers(Store& aStore);

/** Records all attempts and what ran; whether the limit was exceeded. */
bool IsExceeded(const Limit& aLimit,
                std::vector<Sent> aSent,
                const std::vector<std::unique_ptr<Server>>& aServers);

} // namespace lab

#endif // REVIEW_LAB_TENANTLOAD_H
