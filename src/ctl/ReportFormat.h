#ifndef CTL_REPORTFORMAT_H
#define CTL_REPORTFORMAT_H

#include "ctl/CtlReport.h"
#include "ctl/FormattedReport.h"
#include "lacewing/Outcome.h"

#include <memory>
#include <string>

namespace lacewing {

/** Prints reports for people or for programs. */
class ReportFormat
{
public:
  virtual ~ReportFormat() = default;

  virtual FormattedReport Format(const CtlReport& aReport) const = 0;
};

/** aName is "text" or "json"; fails with kInvalidArgument. */
Outcome<std::unique_ptr<ReportFormat>> MakeReportFormat(
  const std::string& aName);

} // namespace lacewing

#endif // CTL_REPORTFORMAT_H
