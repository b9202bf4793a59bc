#ifndef ENTRY_PENDINGREQUEST_H
#define ENTRY_PENDINGREQUEST_H

#include "core/BufferCharge.h"
#include "lacewing/AttemptId.h"
#include "lacewing/Clock.h"
#include "net/HttpCallId.h"
#include "net/HttpRequest.h"
#include "net/HttpResponder.h"

#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/** A caller's request between its arrival and its answer. */
struct PendingRequest
{
  std::shared_ptr<HttpResponder> responder;
  std::string method;
  /** Path and query for the target. */
  std::string target;
  /** Without hop-by-hop fields. */
  HttpFields fields;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<BufferCharge> charge;
  TimePoint arrival;
  /** The attempt in progress or the last one; its answer when it has come. */
  AttemptId attempt;
  std::optional<HttpCallId> call;
  TimePoint sent;
  TimePoint answered;
  HttpResponse answer;
};

} // namespace lacewing

#endif // ENTRY_PENDINGREQUEST_H
