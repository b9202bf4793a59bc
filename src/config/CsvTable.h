#ifndef CONFIG_CSVTABLE_H
#define CONFIG_CSVTABLE_H

#include "config/CsvRow.h"
#include "config/SheetProblem.h"

#include <optional>
#include <vector>

namespace lacewing {

/** The rows up to the first fault of the CSV format, and that fault. */
struct CsvTable
{
  std::vector<CsvRow> rows;
  std::optional<SheetProblem> problem;
};

} // namespace lacewing

#endif // CONFIG_CSVTABLE_H
