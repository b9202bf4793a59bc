#ifndef TESTS_SUPPORT_DEPLOYMENT_H
#define TESTS_SUPPORT_DEPLOYMENT_H

#include "support/CtlResult.h"
#include "support/DeploymentOptions.h"
#include "support/FreePorts.h"
#include "support/Process.h"
#include "support/TempFile.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/**
 * A whole system of real processes: platform, targets in several zones, and
 * entry hosts that reach the platform through a fault proxy each. The service
 * is "ledger"; zones are "z0", "z1", ...; hosts are "h0", "h1", ...
 */
class Deployment
{
public:
  explicit Deployment(const DeploymentOptions& aOptions = {});
  ~Deployment();

  std::size_t Hosts() const { return options_.hosts; }
  std::size_t Zones() const { return options_.zones; }
  std::string ZoneName(std::size_t aZone) const;
  std::string HostName(std::size_t aHost) const;

  Endpoint Platform() const { return ports_.At(0); }
  Endpoint TargetAdmin(std::size_t aZone) const;
  /** The port of a target, by which its admin page knows it. */
  std::uint16_t TargetPort(std::size_t aZone, std::size_t aTarget) const;
  Endpoint Callers(std::size_t aHost) const;
  Endpoint EntryAdmin(std::size_t aHost) const;
  Endpoint ControlAdmin(std::size_t aHost) const;

  Process& Controld(std::size_t aHost) { return *controlds_[aHost]; }
  Process& Entryd(std::size_t aHost) { return *entryds_[aHost]; }

  /** Starts a process of the host again, after it has ended. */
  void StartControld(std::size_t aHost);
  void StartEntryd(std::size_t aHost);

  /** Adds or changes the host in the platform's list. */
  void ListHost(std::size_t aHost, const std::string& aState = "live");

  /** Sets a fault of the platform, as in {"down":true}. */
  void SetPlatform(const std::string& aFaults);
  /** Cuts the host from the platform, or restores the link. */
  void CutFromPlatform(std::size_t aHost, bool aCut);

  /** The sheet with every zone, host and target; aEdit replaces a text. */
  std::string Sheet(const std::string& aFind = {},
                    const std::string& aReplace = {}) const;
  CtlResult Ctl(const std::vector<std::string>& aArguments) const;
  CtlResult Apply(const std::string& aSheet) const;

  /** Applies the sheet and waits until every entryd is ready and warm. */
  void BringIntoService();

  /** Waits until every target is warm in the view of every controld. */
  bool WaitUntilWarm(std::chrono::milliseconds aLimit) const;

  /** Version in force in an entryd; zero when it does not answer. */
  std::uint64_t EntryVersion(std::size_t aHost) const;

private:
  /** Sends a few requests at the same time through every host. */
  void SendWarmUp() const;
  std::string Address(std::size_t aHost) const;
  Endpoint PlatformLink(std::size_t aHost) const;
  void StartTargets(std::size_t aZone);
  void StartProxy();

  DeploymentOptions options_;
  FreePorts ports_;
  std::vector<std::unique_ptr<TempFile>> settings_;
  std::unique_ptr<Process> platform_;
  std::unique_ptr<Process> proxy_;
  std::vector<std::unique_ptr<Process>> targets_;
  std::vector<std::unique_ptr<Process>> controlds_;
  std::vector<std::unique_ptr<Process>> entryds_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_DEPLOYMENT_H
