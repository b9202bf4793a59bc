#ifndef CONFIG_CONFIGLIMITS_H
#define CONFIG_CONFIGLIMITS_H

#include "lacewing/ByteCount.h"

#include <cstddef>

namespace lacewing {

/** The store refuses values beyond 1 MB. */
constexpr ByteCount kMaxObjectBytes{ 1'000'000 };

// Each bound keeps its object below kMaxObjectBytes with ids of full length
// (target about 240 bytes, host about 180, service entry in the head about
// 110) and is several times the size that the design builds towards.
constexpr std::size_t kMaxServices = 4'096;
constexpr std::size_t kMaxZones = 1'024;
constexpr std::size_t kMaxHosts = 4'096;
constexpr std::size_t kMaxTargetsOfService = 3'000;

} // namespace lacewing

#endif // CONFIG_CONFIGLIMITS_H
