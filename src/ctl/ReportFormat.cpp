#include "ctl/ReportFormat.h"

#include "ctl/JsonReportFormat.h"
#include "ctl/TextReportFormat.h"

namespace lacewing {

namespace {

struct FormatName
{
  const char* name;
  std::unique_ptr<ReportFormat> (*make)();
};

constexpr FormatName kFormats[] = {
  { "text", &MakeTextReportFormat },
  { "json", &MakeJsonReportFormat },
};

} // namespace

Outcome<std::unique_ptr<ReportFormat>> MakeReportFormat(
  const std::string& aName)
{
  for (const FormatName& format : kFormats) {
    if (aName == format.name) {
      return format.make();
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + aName + "\" is not an output format",
              "write --output=text or --output=json");
}

} // namespace lacewing
