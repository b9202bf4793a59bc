#ifndef CATALOG_CATALOGDECODER_H
#define CATALOG_CATALOGDECODER_H

#include "catalog/CatalogItem.h"
#include "catalog/RouteTable.h"
#include "catalog/TargetSpec.h"
#include "lacewing/Outcome.h"
#include "rollout/RolloutOrder.h"

#include <memory>
#include <string>

namespace lacewing {

/** Decodes the bodies of catalog items; fails with kInvalidMessage. */
class CatalogDecoder
{
public:
  virtual ~CatalogDecoder() = default;

  virtual Outcome<std::shared_ptr<const RouteTable>> DecodeConfiguration(
    const std::string& aBody) const = 0;

  virtual Outcome<TargetSpec> DecodeTarget(const std::string& aName,
                                           const std::string& aBody) const = 0;

  /** A decoder for deployments without rollouts decodes none. */
  virtual Outcome<RolloutOrder> DecodeRollout(const CatalogItem&) const
  {
    return Fail(ErrorKind::kInvalidMessage,
                "orders of rollouts cannot be decoded",
                "use a decoder of the platform");
  }
};

} // namespace lacewing

#endif // CATALOG_CATALOGDECODER_H
