#include "config/CsvReader.h"

#include <csv.h>

#include <algorithm>
#include <memory>

namespace lacewing {

namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view kUtf16Marks[] = { "\xff\xfe", "\xfe\xff" };

bool StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

char DelimiterOf(std::string_view aText)
{
  const std::string_view first = aText.substr(0, aText.find_first_of("\r\n"));
  return std::count(first.begin(), first.end(), ';') >
             std::count(first.begin(), first.end(), ',')
           ? ';'
           : ',';
}

/** Collects what libcsv reports. */
class Collector
{
public:
  static void OnCell(void* aBytes, std::size_t aSize, void* aSelf)
  {
    auto* self = static_cast<Collector*>(aSelf);
    self->afterReturn_ = false;
    self->cells_.emplace_back(static_cast<const char*>(aBytes), aSize);
  }

  // libcsv reports each line end, also those of empty lines, and both bytes
  // of a CR LF; without the empty lines the row numbers would be wrong.
  static void OnLineEnd(int aByte, void* aSelf)
  {
    auto* self = static_cast<Collector*>(aSelf);
    if (aByte == CSV_LF && self->afterReturn_) {
      self->afterReturn_ = false;
      return;
    }
    self->afterReturn_ = aByte == CSV_CR;
    ++self->number_;
    if (std::any_of(self->cells_.begin(),
                    self->cells_.end(),
                    [](const std::string& aCell) { return !aCell.empty(); })) {
      self->rows_.push_back({ self->number_, std::move(self->cells_) });
    }
    self->cells_.clear();
  }

  RowNumber NextNumber() const { return number_ + RowNumber(1); }
  std::vector<CsvRow> Take() { return std::move(rows_); }

private:
  RowNumber number_;
  bool afterReturn_ = false;
  std::vector<std::string> cells_;
  std::vector<CsvRow> rows_;
};

} // namespace

CsvTable ReadCsv(std::string_view aText)
{
  CsvTable table;
  if (aText.size() > kMaxSheetBytes.value()) {
    table.problem = { RowNumber(1),
                      "",
                      std::to_string(aText.size()) + " bytes",
                      "split the sheet or remove what is not needed; at most " +
                        std::to_string(kMaxSheetBytes.value()) +
                        " bytes are read" };
    return table;
  }
  if (StartsWith(aText, kUtf16Marks[0]) || StartsWith(aText, kUtf16Marks[1])) {
    table.problem = {
      RowNumber(1), "", "UTF-16 text", "export the sheet as CSV in UTF-8"
    };
    return table;
  }
  if (StartsWith(aText, kByteOrderMark)) {
    aText.remove_prefix(kByteOrderMark.size());
  }
  csv_parser parser{};
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  const std::unique_ptr<csv_parser, decltype(&csv_free)> owner(&parser,
                                                               &csv_free);
  csv_set_delim(&parser, static_cast<unsigned char>(DelimiterOf(aText)));
  Collector collector;
  const std::size_t read = csv_parse(&parser,
                                     aText.data(),
                                     aText.size(),
                                     &Collector::OnCell,
                                     &Collector::OnLineEnd,
                                     &collector);
  if (read != aText.size() ||
      csv_fini(
        &parser, &Collector::OnCell, &Collector::OnLineEnd, &collector) != 0) {
    table.problem = { collector.NextNumber(),
                      "",
                      "a quotation mark inside or without its end",
                      "put the cell into quotation marks and write \"\" for "
                      "each one inside; rows after this one were not read" };
  }
  table.rows = collector.Take();
  return table;
}

} // namespace lacewing
