#include "support/Deployment.h"

#include "support/BlockingHttp.h"

#include <future>
#include <stdexcept>
#include <thread>

namespace lacewing {

namespace {

using namespace std::chrono_literals;

// Indices into the ports; those of hosts are used on addresses of their own.
constexpr std::size_t kProxyAdmin = 1;
constexpr std::size_t kMessages = 2;
constexpr std::size_t kControlAdmin = 3;
constexpr std::size_t kCallers = 4;
constexpr std::size_t kEntryAdmin = 5;
constexpr std::size_t kTargetAdmin = 6;
constexpr std::size_t kFirstLink = 7;

std::size_t PortCount(const DeploymentOptions& aOptions)
{
  return kFirstLink + aOptions.hosts + aOptions.zones * aOptions.targetsPerZone;
}

void Require(bool aCondition, const std::string& aWhat)
{
  if (!aCondition) {
    throw std::runtime_error(aWhat);
  }
}

} // namespace

Deployment::Deployment(const DeploymentOptions& aOptions)
  : options_(aOptions)
  , ports_(PortCount(aOptions))
  , controlds_(aOptions.hosts)
  , entryds_(aOptions.hosts)
{
  platform_ = std::make_unique<Process>(
    "standin-platform",
    std::vector<std::string>{ "--listen=" + Platform().ToString() });
  Require(WaitUntilListening(Platform()), "the platform does not start");
  StartProxy();
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    StartTargets(zone);
  }
  for (std::size_t host = 0; host < options_.hosts; ++host) {
    ListHost(host);
    StartControld(host);
    StartEntryd(host);
  }
  for (std::size_t host = 0; host < options_.hosts; ++host) {
    Require(WaitUntilListening(ControlAdmin(host)) &&
              WaitUntilListening(EntryAdmin(host)),
            "host " + HostName(host) + " does not start");
  }
}

Deployment::~Deployment() = default;

std::string Deployment::ZoneName(std::size_t aZone) const
{
  return "z" + std::to_string(aZone);
}

std::string Deployment::HostName(std::size_t aHost) const
{
  return "h" + std::to_string(aHost);
}

std::string Deployment::Address(std::size_t aHost) const
{
  return "127.0.1." + std::to_string(aHost + 1);
}

Endpoint Deployment::TargetAdmin(std::size_t aZone) const
{
  return ports_.At(kTargetAdmin, "127.0.2." + std::to_string(aZone + 1));
}

std::uint16_t Deployment::TargetPort(std::size_t aZone,
                                     std::size_t aTarget) const
{
  return ports_.Port(kFirstLink + options_.hosts +
                     aZone * options_.targetsPerZone + aTarget);
}

Endpoint Deployment::Callers(std::size_t aHost) const
{
  return ports_.At(kCallers, Address(aHost));
}

Endpoint Deployment::EntryAdmin(std::size_t aHost) const
{
  return ports_.At(kEntryAdmin, Address(aHost));
}

Endpoint Deployment::ControlAdmin(std::size_t aHost) const
{
  return ports_.At(kControlAdmin, Address(aHost));
}

Endpoint Deployment::PlatformLink(std::size_t aHost) const
{
  return ports_.At(kFirstLink + aHost);
}

void Deployment::StartProxy()
{
  std::string listen = "--listen=";
  std::string to = "--to=";
  for (std::size_t host = 0; host < options_.hosts; ++host) {
    listen += (host == 0 ? "" : ",") + PlatformLink(host).ToString();
    to += (host == 0 ? "" : ",") + Platform().ToString();
  }
  const Endpoint admin = ports_.At(kProxyAdmin);
  proxy_ = std::make_unique<Process>(
    "fault-proxy",
    std::vector<std::string>{ listen, to, "--admin=" + admin.ToString() });
  Require(WaitUntilListening(admin), "the fault proxy does not start");
}

void Deployment::StartTargets(std::size_t aZone)
{
  std::string listen = "--listen=";
  for (std::size_t i = 0; i < options_.targetsPerZone; ++i) {
    listen += (i == 0 ? "" : ",") +
              Endpoint{ "127.0.0.1", TargetPort(aZone, i) }.ToString();
  }
  targets_.push_back(std::make_unique<Process>(
    "standin-target",
    std::vector<std::string>{ listen,
                              "--admin=" + TargetAdmin(aZone).ToString(),
                              "--set=" + options_.targetProperties }));
  Require(WaitUntilListening(TargetAdmin(aZone)), "the targets do not start");
}

void Deployment::StartControld(std::size_t aHost)
{
  settings_.push_back(std::make_unique<TempFile>(
    "deployment = \"test\"\nhost = \"" + HostName(aHost) + "\"\nzone = \"" +
    ZoneName(aHost % options_.zones) + "\"\nmessages = \"" +
    ports_.At(kMessages, Address(aHost)).ToString() + "\"\nadmin = \"" +
    ControlAdmin(aHost).ToString() + "\"\nplatform = \"" +
    PlatformLink(aHost).ToString() + "\"\n"));
  controlds_[aHost].reset();
  controlds_[aHost] = std::make_unique<Process>(
    "lacewing-controld",
    std::vector<std::string>{ "--settings=" + settings_.back()->Path() });
}

void Deployment::StartEntryd(std::size_t aHost)
{
  settings_.push_back(std::make_unique<TempFile>(
    "deployment = \"test\"\nhost = \"" + HostName(aHost) + "\"\nzone = \"" +
    ZoneName(aHost % options_.zones) + "\"\ncallers = \"" +
    Callers(aHost).ToString() + "\"\nadmin = \"" +
    EntryAdmin(aHost).ToString() + "\"\ncontrold = \"" +
    ports_.At(kMessages, Address(aHost)).ToString() +
    "\"\ndrain_delay = \"500 ms\"\n"));
  entryds_[aHost].reset();
  entryds_[aHost] = std::make_unique<Process>(
    "lacewing-entryd",
    std::vector<std::string>{ "--settings=" + settings_.back()->Path() });
}

void Deployment::ListHost(std::size_t aHost, const std::string& aState)
{
  Send("PUT",
       Platform(),
       "/hosts/" + HostName(aHost),
       nlohmann::json{ { "address", Address(aHost) },
                       { "zone", ZoneName(aHost % options_.zones) },
                       { "state", aState } }
         .dump());
}

void Deployment::SetPlatform(const std::string& aFaults)
{
  Require(Send("PUT", Platform(), "/faults", aFaults).response.status == 204,
          "the platform refuses " + aFaults);
}

void Deployment::CutFromPlatform(std::size_t aHost, bool aCut)
{
  const Endpoint admin = ports_.At(kProxyAdmin);
  const std::string pair = "/pairs/" + std::to_string(PlatformLink(aHost).port);
  Send("PUT", admin, pair + "/refuse", aCut ? "true" : "false");
  if (aCut) {
    Send("POST", admin, pair + "/cut");
  }
}

std::string Deployment::Sheet(const std::string& aFind,
                              const std::string& aReplace) const
{
  std::string sheet =
    "kind,id,service,zone,address,state,slots,connections,idempotent methods,"
    "deadline,measuring budget,cold-start limit,cold time,ramp time\n";
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    sheet += "zone," + ZoneName(zone) + ",,,,in-service,,,,,,,,\n";
  }
  for (std::size_t host = 0; host < options_.hosts; ++host) {
    sheet += "host," + HostName(host) + ",," + ZoneName(host % options_.zones) +
             ",,in-service,,,,,,,,\n";
  }
  sheet += "service,ledger,,,,," + options_.serviceColumns + "\n";
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    for (std::size_t i = 0; i < options_.targetsPerZone; ++i) {
      const std::string name =
        "t" + std::to_string(zone) + "-" + std::to_string(i);
      sheet += "target," + name + ",ledger," + ZoneName(zone) + "," +
               Endpoint{ "127.0.0.1", TargetPort(zone, i) }.ToString() +
               ",in-service,,,,,,,,\n";
    }
  }
  if (!aFind.empty()) {
    const std::size_t at = sheet.find(aFind);
    Require(at != std::string::npos, "the sheet has no " + aFind);
    sheet.replace(at, aFind.size(), aReplace);
  }
  return sheet;
}

CtlResult Deployment::Ctl(const std::vector<std::string>& aArguments) const
{
  std::vector<std::string> arguments{
    "--platform=" + Platform().ToString(),
    "--timeout=20s",
    "--control_admin_port=" + std::to_string(ports_.Port(kControlAdmin))
  };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  Process ctl("lacewingctl", arguments);
  CtlResult result;
  result.code = ctl.Wait(30s).value_or(-1);
  result.output = ctl.Output();
  return result;
}

CtlResult Deployment::Apply(const std::string& aSheet) const
{
  const TempFile sheet(aSheet);
  return Ctl({ "--allow_removal", "apply", sheet.Path() });
}

void Deployment::BringIntoService()
{
  const CtlResult applied = Apply(Sheet());
  Require(applied.code == 0, "the sheet is not applied: " + applied.output);
  // Targets become warm only by answering, so each gets a little work.
  const auto end = std::chrono::steady_clock::now() + 30s;
  while (!WaitUntilWarm(0ms) && std::chrono::steady_clock::now() < end) {
    SendWarmUp();
  }
  Require(WaitUntilWarm(0ms), "the targets do not become warm");
}

void Deployment::SendWarmUp() const
{
  constexpr std::size_t kRequestsPerHost = 8;
  std::vector<std::future<HttpCallResult>> calls;
  for (std::size_t i = 0; i < kRequestsPerHost * options_.hosts; ++i) {
    const Endpoint callers = Callers(i % options_.hosts);
    calls.push_back(std::async(
      std::launch::async, [callers] { return Get(callers, "/ledger/w"); }));
  }
  for (auto& call : calls) {
    call.wait();
  }
}

bool Deployment::WaitUntilWarm(std::chrono::milliseconds aLimit) const
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  for (;;) {
    bool warm = true;
    for (std::size_t host = 0; host < options_.hosts && warm; ++host) {
      const nlohmann::json dump = GetJson(ControlAdmin(host), "/dump");
      warm = !dump["targets"].empty();
      for (const nlohmann::json& target : dump["targets"]) {
        warm = warm && target["phase"] == "warm";
      }
    }
    if (warm || std::chrono::steady_clock::now() >= end) {
      return warm;
    }
    std::this_thread::sleep_for(50ms);
  }
}

std::uint64_t Deployment::EntryVersion(std::size_t aHost) const
{
  const HttpCallResult result = Get(EntryAdmin(aHost), "/dump");
  const nlohmann::json json =
    nlohmann::json::parse(result.response.body, nullptr, false);
  return json.is_object() ? json.value("version", std::uint64_t{ 0 }) : 0;
}

} // namespace lacewing
