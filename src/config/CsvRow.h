#ifndef CONFIG_CSVROW_H
#define CONFIG_CSVROW_H

#include "config/RowNumber.h"

#include <string>
#include <vector>

namespace lacewing {

/** One row of a CSV text. */
struct CsvRow
{
  RowNumber number;
  std::vector<std::string> cells;
};

} // namespace lacewing

#endif // CONFIG_CSVROW_H
