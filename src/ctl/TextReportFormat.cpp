#include "ctl/TextReportFormat.h"

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

using Row = std::array<std::string, 6>;

/** Columns of equal width, without spaces at the ends of lines. */
std::string Table(const std::vector<Row>& aRows)
{
  std::array<std::size_t, std::tuple_size_v<Row>> widths{};
  for (const Row& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

class TextReportFormat final : public ReportFormat
{
public:
  FormattedReport Format(const CtlReport& aReport) const override
  {
    FormattedReport result;
    for (const auto section : kSections) {
      (this->*section)(aReport, result);
    }
    return result;
  }

private:
  using Section = void (TextReportFormat::*)(const CtlReport&,
                                             FormattedReport&) const;

  static const std::array<Section, 8> kSections;

  void Program(const CtlReport& aReport, FormattedReport& aResult) const
  {
    if (!aReport.programVersion.empty()) {
      aResult.output += "lacewingctl " + aReport.programVersion + "\n";
    }
  }

  void Problems(const CtlReport& aReport, FormattedReport& aResult) const
  {
    for (const SheetProblem& problem : aReport.problems) {
      aResult.errors += problem.ToString() + "\n";
    }
  }

  void Changes(const CtlReport& aReport, FormattedReport& aResult) const
  {
    if (!aReport.changes) {
      return;
    }
    for (const ConfigChange& change : *aReport.changes) {
      aResult.output += change.ToString() + "\n";
    }
    const std::size_t count = aReport.changes->size();
    aResult.output += count == 0   ? "no changes\n"
                      : count == 1 ? "1 change\n"
                                   : std::to_string(count) + " changes\n";
  }

  void Version(const CtlReport& aReport, FormattedReport& aResult) const
  {
    if (!aReport.version) {
      return;
    }
    if (*aReport.version == ConfigVersion()) {
      aResult.output += "no configuration has been written yet\n";
      return;
    }
    aResult.output += "version " + std::to_string(aReport.version->value()) +
                      (aReport.written ? " written" : " in the store") + "\n";
  }

  void Hosts(const CtlReport& aReport, FormattedReport& aResult) const
  {
    if (!aReport.hosts) {
      return;
    }
    const ConfigVersion wanted = aReport.version.value_or(ConfigVersion());
    std::vector<Row> rows{
      { "HOST", "ZONE", "ADDRESS", "STATE", "VERSION", "NOTE" }
    };
    std::size_t live = 0;
    std::size_t inForce = 0;
    for (const HostReport& report : *aReport.hosts) {
      const bool has = HasInForce(report, wanted);
      if (!report.host.leaving) {
        ++live;
        inForce += has ? 1 : 0;
      }
      rows.push_back(
        { report.host.id.value(),
          report.host.zone.value(),
          report.host.address,
          report.host.leaving ? "leaving" : "live",
          report.version ? std::to_string(report.version->value()) : "unknown",
          !report.version ? report.problem
          : has           ? ""
                          : "still an older version" });
    }
    if (rows.size() > 1) {
      aResult.output += Table(rows);
    }
    aResult.output += live == 0
                        ? "the platform lists no live hosts\n"
                        : "in force on " + std::to_string(inForce) + " of " +
                            std::to_string(live) + " live hosts\n";
  }

  void History(const CtlReport& aReport, FormattedReport& aResult) const
  {
    for (const RecentWrite& write : aReport.history) {
      aResult.output += "version " + std::to_string(write.version.value()) +
                        " token " + write.token.value() + "\n";
    }
  }

  void Dump(const CtlReport& aReport, FormattedReport& aResult) const
  {
    if (aReport.dump) {
      aResult.output +=
        aReport.dump->dump(
          2, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
    }
  }

  void Failures(const CtlReport& aReport, FormattedReport& aResult) const
  {
    for (const std::string& note : aReport.notes) {
      aResult.errors += "note: " + note + "\n";
    }
    if (aReport.error) {
      aResult.errors += "error: " + aReport.error->ToString() + "\n";
    }
  }
};

const std::array<TextReportFormat::Section, 8> TextReportFormat::kSections{
  &TextReportFormat::Program, &TextReportFormat::Problems,
  &TextReportFormat::Changes, &TextReportFormat::Version,
  &TextReportFormat::Hosts,   &TextReportFormat::History,
  &TextReportFormat::Dump,    &TextReportFormat::Failures,
};

} // namespace

std::unique_ptr<ReportFormat> MakeTextReportFormat()
{
  return std::make_unique<TextReportFormat>();
}

} // namespace lacewing
