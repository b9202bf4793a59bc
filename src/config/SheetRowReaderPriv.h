#ifndef CONFIG_SHEETROWREADERPRIV_H
#define CONFIG_SHEETROWREADERPRIV_H

#include "config/Configuration.h"
#include "config/SheetColumnsPriv.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lacewing {

/** Turns rows into the parts of a configuration and notes all problems. */
class SheetRowReader
{
public:
  SheetRowReader(const SheetColumns& aColumns, SheetProblems& aProblems)
    : columns_(aColumns)
    , problems_(aProblems)
  {
  }

  void Read(const CsvRow& aRow);

  /** Checks references between rows and returns the configuration. */
  Configuration Finish();

private:
  struct Kind
  {
    const char* name;
    void (SheetRowReader::*read)();
    std::set<std::string> columns;
  };

  /** A row whose references can be checked only after the last row. */
  struct TargetRow
  {
    RowNumber row;
    ServiceId service;
    TargetConfig target;
  };
  struct HostRow
  {
    RowNumber row;
    HostConfig host;
  };

  static const std::array<Kind, 4>& Kinds();

  void ReadService();
  void ReadZone();
  void ReadHost();
  void ReadTarget();

  void Note(const std::string& aColumn,
            std::string aFound,
            std::string aRemedy);
  /** The cell of a column that this kind needs; notes an empty one. */
  const std::string& Needed(const char* aColumn);
  std::string Id(const char* aColumn);
  Lifecycle State();
  /** Notes an id or address that an earlier row has. */
  void Unique(std::map<std::string, RowNumber>& aSeen,
              const char* aColumn,
              const std::string& aValue);
  void CheckCount(const char* aWhat, std::size_t aCount, std::size_t aMax);
  void CheckZone(RowNumber aRow, const ZoneId& aZone);

  const SheetColumns& columns_;
  SheetProblems& problems_;
  const CsvRow* row_ = nullptr;
  std::set<std::string> missingColumns_;

  Configuration result_;
  std::map<ServiceId, ServiceConfig> services_;
  std::vector<TargetRow> targets_;
  std::vector<HostRow> hosts_;
  std::map<std::string, RowNumber> serviceIds_;
  std::map<std::string, RowNumber> zoneIds_;
  std::map<std::string, RowNumber> hostIds_;
  std::map<std::string, RowNumber> targetIds_;
  std::map<std::string, RowNumber> addresses_;
};

} // namespace lacewing

#endif // CONFIG_SHEETROWREADERPRIV_H
