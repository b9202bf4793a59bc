#ifndef CATALOG_REQUESTCLASS_H
#define CATALOG_REQUESTCLASS_H

namespace lacewing {

/** How often a route's requests may run. */
enum class RequestClass
{
  /** May run more than once. */
  kIdempotent,
  /** Runs at most once. */
  kNonIdempotent,
  /** Runs at most once and has a large body. */
  kUpload,
};

inline bool RunsAtMostOnce(RequestClass aClass)
{
  return aClass != RequestClass::kIdempotent;
}

} // namespace lacewing

#endif // CATALOG_REQUESTCLASS_H
