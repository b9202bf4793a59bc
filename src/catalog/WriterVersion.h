#ifndef CATALOG_WRITERVERSION_H
#define CATALOG_WRITERVERSION_H

#include "lacewing/Incarnation.h"
#include "lacewing/WriteCount.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/**
 * How an object's writer counts its own states. Unlike a revision it also
 * orders states that the store lost and that were written again. Zero if the
 * object does not tell.
 */
struct WriterVersion
{
  /** The writer's start; zero for writers that do not tell it. */
  Incarnation incarnation;
  WriteCount count;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "i", &WriterVersion::incarnation },
                           WireMember{ "c", &WriterVersion::count });
  }

  friend constexpr bool operator==(const WriterVersion& aLeft,
                                   const WriterVersion& aRight)
  {
    return aLeft.incarnation == aRight.incarnation &&
           aLeft.count == aRight.count;
  }
  friend constexpr bool operator<(const WriterVersion& aLeft,
                                  const WriterVersion& aRight)
  {
    return aLeft.incarnation == aRight.incarnation
             ? aLeft.count < aRight.count
             : aLeft.incarnation < aRight.incarnation;
  }
};

} // namespace lacewing

#endif // CATALOG_WRITERVERSION_H
