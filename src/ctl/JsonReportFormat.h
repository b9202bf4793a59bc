#ifndef CTL_JSONREPORTFORMAT_H
#define CTL_JSONREPORTFORMAT_H

#include "ctl/ReportFormat.h"

namespace lacewing {

/** One JSON object on the standard output, errors included. */
std::unique_ptr<ReportFormat> MakeJsonReportFormat();

} // namespace lacewing

#endif // CTL_JSONREPORTFORMAT_H
