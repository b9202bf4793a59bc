#ifndef CONFIG_CSVREADER_H
#define CONFIG_CSVREADER_H

#include "config/CsvTable.h"
#include "lacewing/ByteCount.h"

#include <string_view>

namespace lacewing {

/** 15,000 targets take about 1 MB. */
constexpr ByteCount kMaxSheetBytes{ 16U << 20U };

/**
 * Reads CSV as spreadsheets export it: quoted cells, a byte order mark, any
 * line ends, and semicolons if the first line has more of them than commas.
 * Empty lines are counted but left out.
 */
CsvTable ReadCsv(std::string_view aText);

} // namespace lacewing

#endif // CONFIG_CSVREADER_H
