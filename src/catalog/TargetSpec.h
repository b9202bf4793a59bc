#ifndef CATALOG_TARGETSPEC_H
#define CATALOG_TARGETSPEC_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Incarnation.h"
#include "lacewing/ServiceId.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** What a target says of itself in the store. */
struct TargetSpec
{
  TargetId id;
  ServiceId service;
  Endpoint endpoint;
  ZoneId zone;
  SlotCount slots{ 1 };
  /** It finishes what it has and takes nothing new. */
  bool draining = false;
  /** Changes with each start, also when the id stays. */
  Incarnation incarnation;
};

} // namespace lacewing

#endif // CATALOG_TARGETSPEC_H
