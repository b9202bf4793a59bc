#ifndef CORE_UNITTEXT_H
#define CORE_UNITTEXT_H

#include "lacewing/BasisPoints.h"
#include "lacewing/Outcome.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing {

/**
 * Values with their units as people write them; a space before the unit is
 * optional, and the decimal mark is a point or a comma. All fail with
 * kInvalidArgument.
 */

/** A whole number without sign, as in "6". */
Outcome<std::uint64_t> ParseCount(std::string_view aText);

/** A time in ms, s, min or h that is a whole number of ms, as in "1.5 s". */
Outcome<std::chrono::milliseconds> ParseDuration(std::string_view aText);

/** A share in hundredths of one per cent at the finest, as in "0.25 %". */
Outcome<BasisPoints> ParseShare(std::string_view aText);

/** The time in the largest unit that gives a whole number: "250 ms", "3 s". */
std::string FormatDuration(std::chrono::milliseconds aTime);

/** "1 %", "0.25 %". */
std::string FormatShare(BasisPoints aShare);

} // namespace lacewing

#endif // CORE_UNITTEXT_H
