#include "ctl/HostSurvey.h"

#include "ctl/BoundedLoop.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace lacewing {

namespace {

constexpr std::size_t kHostsAtOnce = 64;
constexpr const char* kVersionField = "config_version";

Outcome<Endpoint> AdminEndpoint(const ListedHost& aHost,
                                std::uint16_t aAdminPort)
{
  if (aHost.address.find(':') != std::string::npos) {
    return Endpoint::Parse(aHost.address);
  }
  return Endpoint::Parse(Endpoint{ aHost.address, aAdminPort }.ToString());
}

void TakeDump(HostReport& aReport, const Outcome<nlohmann::json>& aDump)
{
  if (!aDump) {
    aReport.problem = aDump.error().what;
    return;
  }
  const auto field = aDump.value().find(kVersionField);
  if (field == aDump.value().end() || !field->is_number_unsigned()) {
    aReport.problem = std::string("its /dump has no number ") + kVersionField;
    return;
  }
  aReport.version = ConfigVersion(field->get<std::uint64_t>());
}

} // namespace

void SurveyHosts(ObjectStore& aStore,
                 HostReader& aReader,
                 std::uint16_t aAdminPort,
                 std::chrono::milliseconds aTimeout,
                 HostReportsHandler aHandler)
{
  aStore.Hosts([&aReader, aAdminPort, aTimeout, handler = std::move(aHandler)](
                 Outcome<std::vector<ListedHost>> aHosts) {
    if (!aHosts) {
      handler(std::move(aHosts).as_failure());
      return;
    }
    const auto reports = std::make_shared<std::vector<HostReport>>();
    const auto endpoints = std::make_shared<std::vector<Endpoint>>();
    const auto asked = std::make_shared<std::vector<std::size_t>>();
    for (ListedHost& host : aHosts.value()) {
      HostReport report;
      report.host = std::move(host);
      auto endpoint = AdminEndpoint(report.host, aAdminPort);
      if (endpoint) {
        asked->push_back(reports->size());
        endpoints->push_back(std::move(endpoint).value());
      } else {
        report.problem = "its listed address " + endpoint.error().what;
      }
      reports->push_back(std::move(report));
    }
    RunBounded(
      asked->size(),
      kHostsAtOnce,
      [&aReader, reports, endpoints, asked, aTimeout](std::size_t aIndex,
                                                      auto aDone) {
        aReader.Dump((*endpoints)[aIndex],
                     aTimeout,
                     [reports, index = (*asked)[aIndex], aDone](
                       const Outcome<nlohmann::json>& aDump) {
                       TakeDump((*reports)[index], aDump);
                       aDone(outcome::success());
                     });
      },
      [reports, handler](const Outcome<void>&) { handler(*reports); });
  });
}

} // namespace lacewing
