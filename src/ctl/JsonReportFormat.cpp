#include "ctl/JsonReportFormat.h"

namespace lacewing {

namespace {

using nlohmann::json;

json ErrorJson(const Error& aError)
{
  return { { "kind", ToString(aError.kind) },
           { "what", aError.what },
           { "remedy", aError.remedy } };
}

json ProblemsJson(const SheetProblems& aProblems)
{
  json list = json::array();
  for (const SheetProblem& problem : aProblems) {
    list.push_back({ { "row", problem.row.value() },
                     { "column", problem.column },
                     { "found", problem.found },
                     { "remedy", problem.remedy } });
  }
  return list;
}

json ChangesJson(const std::vector<ConfigChange>& aChanges)
{
  json list = json::array();
  for (const ConfigChange& change : aChanges) {
    json fields = json::array();
    for (const FieldChange& field : change.fields) {
      fields.push_back({ { "field", field.field },
                         { "before", field.before },
                         { "after", field.after } });
    }
    list.push_back({ { "change", ToString(change.kind) },
                     { "object", ToString(change.object) },
                     { "id", change.id },
                     { "fields", std::move(fields) } });
  }
  return list;
}

json HostsJson(const std::vector<HostReport>& aHosts, ConfigVersion aWanted)
{
  json list = json::array();
  for (const HostReport& report : aHosts) {
    json host = { { "id", report.host.id.value() },
                  { "zone", report.host.zone.value() },
                  { "address", report.host.address },
                  { "state", report.host.leaving ? "leaving" : "live" },
                  { "in_force", HasInForce(report, aWanted) } };
    if (report.version) {
      host["config_version"] = report.version->value();
    } else {
      host["problem"] = report.problem;
    }
    list.push_back(std::move(host));
  }
  return list;
}

json HistoryJson(const std::vector<RecentWrite>& aHistory)
{
  json list = json::array();
  for (const RecentWrite& write : aHistory) {
    list.push_back({ { "version", write.version.value() },
                     { "token", write.token.value() } });
  }
  return list;
}

class JsonReportFormat final : public ReportFormat
{
public:
  FormattedReport Format(const CtlReport& aReport) const override
  {
    json result = { { "command", aReport.command },
                    { "exit_code", static_cast<int>(aReport.exitCode) } };
    if (aReport.error) {
      result["error"] = ErrorJson(*aReport.error);
    }
    if (!aReport.problems.empty()) {
      result["problems"] = ProblemsJson(aReport.problems);
    }
    if (aReport.changes) {
      result["changes"] = ChangesJson(*aReport.changes);
    }
    if (aReport.version) {
      result["version"] = aReport.version->value();
      result["written"] = aReport.written;
    }
    if (aReport.hosts) {
      result["hosts"] =
        HostsJson(*aReport.hosts, aReport.version.value_or(ConfigVersion()));
    }
    if (!aReport.history.empty()) {
      result["history"] = HistoryJson(aReport.history);
    }
    if (aReport.dump) {
      result["dump"] = *aReport.dump;
    }
    if (!aReport.programVersion.empty()) {
      result["program_version"] = aReport.programVersion;
    }
    if (!aReport.notes.empty()) {
      result["notes"] = aReport.notes;
    }
    // Cells of a sheet may hold bytes that are no UTF-8.
    return { result.dump(2, ' ', false, json::error_handler_t::replace) + "\n",
             "" };
  }
};

} // namespace

std::unique_ptr<ReportFormat> MakeJsonReportFormat()
{
  return std::make_unique<JsonReportFormat>();
}

} // namespace lacewing
