#ifndef CORE_UNITTEXT_H
#define CORE_UNITTEXT_H

#include "lacewing/BasisPoints.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Parses a whole number with a unit: "250 ms", "3 s", "15 min" or "50 us". */
Outcome<Duration> ParseDuration(const std::string& aText);

/** Parses a whole number with a unit: "512 B", "64 KiB", "8 MiB", "1 GiB". */
Outcome<ByteCount> ParseByteCount(const std::string& aText);

/** Parses a percentage with up to two decimals: "1 %", "2.5%". */
Outcome<BasisPoints> ParseShare(const std::string& aText);

/** The shortest form that the parsers read back, for messages. */
std::string FormatDuration(Duration aDuration);
std::string FormatByteCount(ByteCount aBytes);
std::string FormatShare(BasisPoints aShare);

} // namespace lacewing

#endif // CORE_UNITTEXT_H
