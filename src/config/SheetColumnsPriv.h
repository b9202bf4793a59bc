#ifndef CONFIG_SHEETCOLUMNSPRIV_H
#define CONFIG_SHEETCOLUMNSPRIV_H

#include "config/CsvRow.h"
#include "config/SheetProblem.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace lacewing {

constexpr const char* kKindColumn = "kind";
constexpr const char* kIdColumn = "id";
constexpr const char* kServiceColumn = "service";
constexpr const char* kZoneColumn = "zone";
constexpr const char* kAddressColumn = "address";
constexpr const char* kStateColumn = "state";

/** Finds cells by the heading of their column, whatever their order. */
class SheetColumns
{
public:
  /** Reads the heading; unknown and repeated headings become problems. */
  SheetColumns(const CsvRow& aHeading, SheetProblems& aProblems);

  bool Has(const std::string& aColumn) const;

  /** The cell, empty if the row or the sheet does not have it. */
  const std::string& Cell(const CsvRow& aRow, const std::string& aColumn) const;

  /** Number of columns. */
  std::size_t Count() const { return count_; }

  /** The known headings outside aUsed whose cells of this row are filled. */
  std::set<std::string> FilledOutside(const CsvRow& aRow,
                                      const std::set<std::string>& aUsed) const;

private:
  std::map<std::string, std::size_t> positions_;
  std::size_t count_ = 0;
};

/** Quotes a cell for a message and shortens a long one. */
std::string Quoted(const std::string& aCell);

} // namespace lacewing

#endif // CONFIG_SHEETCOLUMNSPRIV_H
