#ifndef STANDIN_TARGETSPEC_H
#define STANDIN_TARGETSPEC_H

#include "lacewing/Endpoint.h"
#include "lacewing/TargetId.h"
#include "standin/TargetProperties.h"

namespace lacewing {

/** What a stand-in target starts with. */
struct TargetSpec
{
  TargetId id;
  Endpoint endpoint;
  TargetProperties properties;
};

} // namespace lacewing

#endif // STANDIN_TARGETSPEC_H
