#ifndef STANDIN_TARGETWORK_H
#define STANDIN_TARGETWORK_H

#include "lacewing/Clock.h"
#include "net/HttpRequest.h"
#include "net/HttpResponder.h"
#include "standin/RunLog.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace lacewing {

/** A request in progress at a target. */
struct TargetWork
{
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
  /** Ends the connection's set-up and then the run. */
  asio::steady_timer timer;
  TimePoint deadline = TimePoint::max();
  bool probe = false;
  /** Set when the request has a slot. */
  std::optional<TimePoint> started{};
  /** Set when the run is logged. */
  std::optional<RunLog::Index> run{};
};

} // namespace lacewing

#endif // STANDIN_TARGETWORK_H
