#include "config/SheetReader.h"

#include "config/CsvReader.h"
#include "config/SheetRowReaderPriv.h"

#include <algorithm>

namespace lacewing {

SheetOutcome ReadSheet(std::string_view aText)
{
  const CsvTable table = ReadCsv(aText);
  SheetProblems problems;
  if (table.rows.empty()) {
    if (table.problem) {
      problems.push_back(*table.problem);
    } else {
      problems.push_back({ RowNumber(1),
                           "",
                           "an empty sheet",
                           "write a heading with the columns kind and id" });
    }
    return problems;
  }
  const SheetColumns columns(table.rows.front(), problems);
  Configuration configuration;
  if (columns.Has(kKindColumn) && columns.Has(kIdColumn)) {
    SheetRowReader reader(columns, problems);
    std::for_each(table.rows.begin() + 1,
                  table.rows.end(),
                  [&](const CsvRow& aRow) { reader.Read(aRow); });
    configuration = reader.Finish();
  }
  if (table.problem) {
    problems.push_back(*table.problem);
  }
  if (!problems.empty()) {
    std::stable_sort(problems.begin(),
                     problems.end(),
                     [](const SheetProblem& aLeft, const SheetProblem& aRight) {
                       return aLeft.row < aRight.row;
                     });
    return problems;
  }
  return configuration;
}

} // namespace lacewing
