#ifndef FLEET_CATALOGVIEW_H
#define FLEET_CATALOGVIEW_H

#include "catalog/CatalogDecoder.h"
#include "catalog/CatalogReplica.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lacewing {

/**
 * The catalog's objects in decoded form. Objects that cannot be decoded are
 * logged and left out.
 */
class CatalogView
{
public:
  explicit CatalogView(const CatalogDecoder& aDecoder);

  /** Decodes what has changed in aReplica since the last call. */
  void Update(const CatalogReplica& aReplica);

  /** The active configuration; null until one has been decoded. */
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }

  /**
   * Targets that may receive new requests: they are not draining and their zone
   * is in service.
   */
  std::vector<TargetSpec> UsableTargets() const;

private:
  struct DecodedTarget
  {
    Revision revision;
    bool readable = false;
    TargetSpec spec;
  };

  void UpdateRoutes(const CatalogReplica& aReplica);
  void UpdateTargets(const CatalogReplica& aReplica);

  const CatalogDecoder& decoder_;
  std::shared_ptr<const RouteTable> routes_;
  Revision routesRevision_;
  std::map<std::string, DecodedTarget> targets_;
  std::set<ZoneId> zonesOut_;
};

} // namespace lacewing

#endif // FLEET_CATALOGVIEW_H
