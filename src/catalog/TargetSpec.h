#ifndef CATALOG_TARGETSPEC_H
#define CATALOG_TARGETSPEC_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Incarnation.h"
#include "lacewing/ServiceId.h"
#include "lacewing/ServiceVersion.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** A target's registration in the store. */
struct TargetSpec
{
  TargetId id;
  ServiceId service;
  /** The version of the service that the target runs; empty if not told. */
  ServiceVersion version;
  Endpoint endpoint;
  ZoneId zone;
  /** Requests that the target can process at the same time. */
  SlotCount slots{ 1 };
  /** The target finishes its present requests and accepts no new ones. */
  bool draining = false;
  /** Differs after each start of the target, even if its id is the same. */
  Incarnation incarnation;
};

} // namespace lacewing

#endif // CATALOG_TARGETSPEC_H
