#ifndef CONFIG_ROWNUMBER_H
#define CONFIG_ROWNUMBER_H

#include "lacewing/StrongNumber.h"

#include <cstdint>

namespace lacewing {

/** A row as spreadsheets number it: the heading is row 1. */
using RowNumber = StrongNumber<struct RowNumberTag, std::uint32_t>;

} // namespace lacewing

#endif // CONFIG_ROWNUMBER_H
