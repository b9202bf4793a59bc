#ifndef GATEWAY_FOUNDTARGET_H
#define GATEWAY_FOUNDTARGET_H

#include "balance/Choice.h"
#include "catalog/TargetSpec.h"
#include "http/HttpConnection.h"

#include <memory>

namespace lacewing {

/** A target chosen for an attempt, with a connection to it. */
struct FoundTarget
{
  TargetSpec spec;
  Choice choice;
  std::unique_ptr<HttpConnection> connection;
};

} // namespace lacewing

#endif // GATEWAY_FOUNDTARGET_H
