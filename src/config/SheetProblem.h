#ifndef CONFIG_SHEETPROBLEM_H
#define CONFIG_SHEETPROBLEM_H

#include "config/RowNumber.h"

#include <string>
#include <vector>

namespace lacewing {

/** One fault of a sheet. */
struct SheetProblem
{
  RowNumber row;
  /** Heading of the column; empty when the whole row is meant. */
  std::string column;
  std::string found;
  /** What to write instead. */
  std::string remedy;

  /** One line: "row 7, column deadline: found 250; write a time ...". */
  std::string ToString() const;
};

using SheetProblems = std::vector<SheetProblem>;

} // namespace lacewing

#endif // CONFIG_SHEETPROBLEM_H
