#ifndef CTL_TEXTREPORTFORMAT_H
#define CTL_TEXTREPORTFORMAT_H

#include "ctl/ReportFormat.h"

namespace lacewing {

/** Lines and tables for people; errors go to the standard error. */
std::unique_ptr<ReportFormat> MakeTextReportFormat();

} // namespace lacewing

#endif // CTL_TEXTREPORTFORMAT_H
