#ifndef QUOTA_ALLOWANCEEXCHANGE_H
#define QUOTA_ALLOWANCEEXCHANGE_H

#include "catalog/RouteTable.h"
#include "lacewing/Clock.h"
#include "lacewing/Incarnation.h"
#include "quota/AllowanceAnswer.h"
#include "quota/AllowanceAsk.h"
#include "quota/AllowanceOptions.h"
#include "quota/AllowanceView.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/**
 * The control thread's part of the limits: decides as the owner of some
 * customers and asks the owners of the others. Silent while no customer has a
 * limit.
 */
class AllowanceExchange
{
public:
  struct Links
  {
    /** Sends a datagram to a host's port for these messages. */
    std::function<void(const HostAddress&, const std::string&)> send;
    /** Passes an answer to the traffic thread's gate. */
    std::function<void(const AllowanceAnswer&)> answer;
    std::function<AllowanceView()> view;
  };

  AllowanceExchange(asio::io_context& aContext,
                    const Clock& aClock,
                    const AllowanceOptions& aOptions,
                    HostAddress aSelf,
                    Incarnation aIncarnation,
                    Links aLinks);
  ~AllowanceExchange();
  AllowanceExchange(const AllowanceExchange&) = delete;
  AllowanceExchange& operator=(const AllowanceExchange&) = delete;

  /**
   * Step of the control thread: applies the newest configuration, null before
   * the first one, and changes of the hosts.
   */
  void Tick(const std::shared_ptr<const RouteTable>& aRoutes);

  void OnAsk(const AllowanceAsk& aAsk);
  void OnDatagram(std::string_view aBytes);

  /** The metrics in text format; empty while no customer has a limit. */
  std::string MetricsText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEEXCHANGE_H
