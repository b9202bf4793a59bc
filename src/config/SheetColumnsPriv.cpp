#include "config/SheetColumnsPriv.h"

#include "config/ServiceField.h"

#include <cctype>

namespace lacewing {

namespace {

/** Ignores case and reads hyphens and underscores as spaces. */
std::string Normalised(const std::string& aHeading)
{
  std::string result;
  for (const char c : aHeading) {
    result +=
      c == '-' || c == '_'
        ? ' '
        : static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return result;
}

/** The headings that sheets may have, by their normalised form. */
const std::map<std::string, std::string>& KnownHeadings()
{
  static const std::map<std::string, std::string> known = [] {
    std::map<std::string, std::string> result;
    for (const char* heading : { kKindColumn,
                                 kIdColumn,
                                 kServiceColumn,
                                 kZoneColumn,
                                 kAddressColumn,
                                 kStateColumn }) {
      result[Normalised(heading)] = heading;
    }
    for (const ServiceField& field : ServiceFields()) {
      result[Normalised(field.heading)] = field.heading;
    }
    return result;
  }();
  return known;
}

std::string ListOfHeadings()
{
  std::string list;
  for (const auto& [normalised, heading] : KnownHeadings()) {
    list += (list.empty() ? "" : ", ") + heading;
  }
  return list;
}

} // namespace

SheetColumns::SheetColumns(const CsvRow& aHeading, SheetProblems& aProblems)
  : count_(aHeading.cells.size())
{
  for (std::size_t i = 0; i < aHeading.cells.size(); ++i) {
    const std::string& cell = aHeading.cells[i];
    const auto known = KnownHeadings().find(Normalised(cell));
    if (known == KnownHeadings().end()) {
      // Spreadsheets export empty trailing columns, which do no harm.
      if (!cell.empty()) {
        aProblems.push_back(
          { aHeading.number,
            std::to_string(i + 1),
            "the unknown heading " + Quoted(cell),
            "remove the column or use one of: " + ListOfHeadings() });
      }
      continue;
    }
    if (!positions_.emplace(known->second, i).second) {
      aProblems.push_back({ aHeading.number,
                            known->second,
                            "the heading a second time",
                            "keep one of the two columns" });
    }
  }
  for (const char* heading : { kKindColumn, kIdColumn }) {
    if (!Has(heading)) {
      aProblems.push_back({ aHeading.number,
                            heading,
                            "no such column",
                            "add it; every row needs it" });
    }
  }
}

bool SheetColumns::Has(const std::string& aColumn) const
{
  return positions_.count(aColumn) != 0;
}

const std::string& SheetColumns::Cell(const CsvRow& aRow,
                                      const std::string& aColumn) const
{
  static const std::string empty;
  const auto position = positions_.find(aColumn);
  if (position == positions_.end() || position->second >= aRow.cells.size()) {
    return empty;
  }
  return aRow.cells[position->second];
}

std::set<std::string> SheetColumns::FilledOutside(
  const CsvRow& aRow,
  const std::set<std::string>& aUsed) const
{
  std::set<std::string> filled;
  for (const auto& [heading, position] : positions_) {
    if (aUsed.count(heading) == 0 && !Cell(aRow, heading).empty()) {
      filled.insert(heading);
    }
  }
  return filled;
}

std::string Quoted(const std::string& aCell)
{
  constexpr std::size_t kLongest = 60;
  std::string result = "\"";
  for (const char c : aCell.substr(0, kLongest)) {
    result += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? '?' : c;
  }
  return result + (aCell.size() > kLongest ? "...\"" : "\"");
}

} // namespace lacewing
