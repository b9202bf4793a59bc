#ifndef HOST_ALLOWANCESERVICE_H
#define HOST_ALLOWANCESERVICE_H

#include "catalog/RouteTable.h"
#include "fleet/HostIdentity.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "quota/AllowanceAnswer.h"
#include "quota/AllowanceAsk.h"
#include "quota/AllowanceOptions.h"
#include "quota/AllowanceView.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace lacewing {

/** The exchange of customers' tokens with its own socket; control thread. */
class AllowanceService
{
public:
  struct Links
  {
    /** Passes an answer to the traffic thread. */
    std::function<void(const AllowanceAnswer&)> answer;
    std::function<AllowanceView()> view;
  };

  /** Fails if the port cannot be bound. */
  static Outcome<std::unique_ptr<AllowanceService>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const AllowanceOptions& aOptions,
    const HostIdentity& aIdentity,
    Links aLinks);

  ~AllowanceService();
  AllowanceService(const AllowanceService&) = delete;
  AllowanceService& operator=(const AllowanceService&) = delete;

  /** Step of the control thread, with the newest routes. */
  void Tick(const std::shared_ptr<const RouteTable>& aRoutes);

  void OnAsk(const AllowanceAsk& aAsk);

  /** The metrics in text format. */
  std::string MetricsText() const;

private:
  struct Impl;
  explicit AllowanceService(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HOST_ALLOWANCESERVICE_H
