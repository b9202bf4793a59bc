#ifndef FLEET_CATALOGVIEW_H
#define FLEET_CATALOGVIEW_H

#include "catalog/CatalogDecoder.h"
#include "catalog/CatalogReplica.h"
#include "lacewing/Clock.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/**
 * The catalog's objects in decoded form. Objects that cannot be decoded are
 * logged and left out. What the store says right after it was away or came back
 * from a copy may still be corrected by the objects' writers: a removal then
 * takes effect later, and so does the return of a target that was removed.
 */
class CatalogView
{
public:
  CatalogView(const CatalogDecoder& aDecoder, const Clock& aClock);

  /**
   * Decodes what has changed in aReplica since the last call. aFrom names the
   * source of the changes in log lines.
   */
  void Update(const CatalogReplica& aReplica,
              const std::string& aFrom = "store");

  /** Whether time alone has changed the view since the last update. */
  bool Outdated() const;

  /** The active configuration; null until one has been decoded. */
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }

  /**
   * Targets that may receive new requests: they are not draining and their zone
   * is in service.
   */
  std::vector<TargetSpec> UsableTargets() const;

private:
  /** How long an object stays in use after an unconfirmed removal. */
  struct GraceTime
  {
    StorePosition removedAt;
    TimePoint until;
  };
  struct DecodedTarget
  {
    StorePosition position;
    bool readable = false;
    TargetSpec spec;
    /** Empty for a target whose return need not be confirmed. */
    std::optional<TimePoint> usableFrom;
    /** Set while an unconfirmed removal has not taken effect. */
    std::optional<GraceTime> missing;
  };
  using ZonesOut = std::map<ZoneId, std::optional<GraceTime>>;

  void UpdateRoutes(const CatalogReplica& aReplica, const std::string& aFrom);
  void UpdateTargets(const CatalogReplica& aReplica);
  void RemoveTargets(const CatalogReplica& aReplica);
  void UpdateZonesOut(const CatalogReplica& aReplica);
  /** Whether a removal that may still be undone keeps the object in use. */
  bool Keeps(const CatalogReplica& aReplica,
             CatalogKind aKind,
             const std::string& aName,
             std::optional<GraceTime>& aMissing) const;

  const CatalogDecoder& decoder_;
  const Clock& clock_;
  std::shared_ptr<const RouteTable> routes_;
  /** The position at which each configuration object was decoded last. */
  std::map<std::string, StorePosition> routesPositions_;
  std::map<std::string, DecodedTarget> targets_;
  /** Each with the grace time of an unconfirmed removal. */
  ZonesOut zonesOut_;
  TimePoint updatedAt_;
};

} // namespace lacewing

#endif // FLEET_CATALOGVIEW_H
