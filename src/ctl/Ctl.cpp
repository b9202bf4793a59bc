#include "ctl/Ctl.h"

#include "config/ConfigDiff.h"
#include "config/ConfigEncoder.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "config/SheetReader.h"
#include "ctl/ConfigPublisher.h"
#include "ctl/ConfigReader.h"
#include "ctl/HostSurvey.h"
#include "ctl/InForceWaiter.h"
#include "ctl/SheetFile.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

struct LifecycleVerb
{
  const char* verb;
  Lifecycle lifecycle;
};

constexpr LifecycleVerb kVerbs[] = {
  { "join", Lifecycle::kJoining },
  { "leave", Lifecycle::kLeaving },
  { "out", Lifecycle::kOut },
};

Outcome<Lifecycle> LifecycleOfVerb(const std::string& aVerb)
{
  for (const LifecycleVerb& verb : kVerbs) {
    if (aVerb == verb.verb) {
      return verb.lifecycle;
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + aVerb + "\" is not join, leave or out",
              "write one of these words before the name");
}

/** Sets the state of one zone or host. */
template<class Id, class T>
Outcome<Configuration> WithLifecycle(const Configuration& aConfiguration,
                                     std::map<Id, T> Configuration::*aPart,
                                     const char* aKind,
                                     const std::string& aId,
                                     Lifecycle aLifecycle)
{
  Configuration next = aConfiguration;
  const auto found = (next.*aPart).find(Id(aId));
  if (found == (next.*aPart).end()) {
    std::string known;
    for (const auto& [id, value] : next.*aPart) {
      known += (known.empty() ? "" : ", ") + id.value();
    }
    return Fail(ErrorKind::kInvalidSheet,
                std::string("there is no ") + aKind + " \"" + aId + "\"",
                known.empty() ? std::string("add it to the sheet and apply it")
                              : "write one of: " + known);
  }
  found->second.lifecycle = aLifecycle;
  return next;
}

WriteToken MakeToken(std::mt19937_64& aRandom)
{
  const std::uint64_t high = aRandom();
  const std::uint64_t low = aRandom();
  return WriteToken(fmt::format("{:016x}{:016x}", high, low));
}

/** The error of a wait that ended with hosts that lag behind. */
std::optional<Error> LaggingHosts(const std::vector<HostReport>& aHosts,
                                  ConfigVersion aVersion)
{
  std::string names;
  for (const HostReport& report : aHosts) {
    if (!report.host.leaving && !HasInForce(report, aVersion)) {
      names +=
        (names.empty() ? "" : ", ") + report.host.id.value() + " (" +
        (report.version ? "version " + std::to_string(report.version->value())
                        : report.problem) +
        ")";
    }
  }
  if (names.empty()) {
    return std::nullopt;
  }
  return Error{ ErrorKind::kTimeout,
                "version " + std::to_string(aVersion.value()) +
                  " is not in force on " + names,
                "look at these hosts and at lacewingctl status; the version "
                "stays in the store and need not be applied again" };
}

} // namespace

const std::array<CtlCommand, 8>& Ctl::Commands()
{
  static const std::array<CtlCommand, 8> commands{ {
    { "plan",
      "SHEET.csv",
      1,
      "Checks a sheet and prints what it would change.",
      "lacewingctl plan examples/addis.csv\n"
      "lacewingctl plan --output=json --platform=10.0.0.5:7000 monday.csv",
      &Ctl::Plan },
    { "apply",
      "SHEET.csv",
      1,
      "Puts a sheet in force and waits until every live host has it.",
      "lacewingctl apply examples/addis.csv\n"
      "lacewingctl apply --allow-removal --timeout=60s monday.csv",
      &Ctl::Apply },
    { "status",
      "",
      0,
      "Shows the version in the store and on every listed host.",
      "lacewingctl status\n"
      "lacewingctl status --output=json",
      &Ctl::Status },
    { "dump",
      "ADDRESS:PORT",
      1,
      "Prints the state that a daemon shows on its admin port.",
      "lacewingctl dump 10.0.0.7:7071",
      &Ctl::Dump },
    { "zone",
      "join|leave|out ZONE",
      2,
      "Changes the state of an availability zone and waits as apply does.",
      "lacewingctl zone out palermo\n"
      "lacewingctl zone join palermo",
      &Ctl::Zone },
    { "host",
      "join|leave|out HOST",
      2,
      "Changes the state of an entry host and waits as apply does.",
      "lacewingctl host leave entry-03\n"
      "lacewingctl host join entry-03",
      &Ctl::Host },
    { "history",
      "",
      0,
      "Lists the recent versions and the tokens of their writers.",
      "lacewingctl history",
      &Ctl::History },
    { "version",
      "",
      0,
      "Prints the version of this program.",
      "lacewingctl version",
      &Ctl::Version },
  } };
  return commands;
}

Ctl::Ctl(const CtlEnvironment& aEnvironment,
         const CtlOptions& aOptions,
         std::vector<std::string> aArguments)
  : environment_(aEnvironment)
  , options_(aOptions)
  , arguments_(std::move(aArguments))
  , deadline_(aEnvironment.clock.Now() + aOptions.timeout)
  , store_(aEnvironment.context,
           aEnvironment.clock,
           aEnvironment.store,
           aEnvironment.random,
           deadline_)
{
}

void Ctl::Run(Handler aHandler)
{
  handler_ = std::move(aHandler);
  if (arguments_.empty()) {
    End({ ErrorKind::kInvalidArgument,
          "no command is given",
          "run lacewingctl --help" });
    return;
  }
  report_.command = arguments_.front();
  arguments_.erase(arguments_.begin());
  const auto* command = std::find_if(
    Commands().begin(), Commands().end(), [this](const CtlCommand& aCommand) {
      return report_.command == aCommand.name;
    });
  if (command == Commands().end()) {
    End({ ErrorKind::kInvalidArgument,
          "\"" + report_.command + "\" is not a command",
          "run lacewingctl --help" });
    return;
  }
  if (arguments_.size() != command->argumentCount) {
    End({ ErrorKind::kInvalidArgument,
          std::to_string(arguments_.size()) + " arguments are given, not " +
            std::to_string(command->argumentCount),
          std::string("write lacewingctl ") + command->name + " " +
            command->arguments });
    return;
  }
  (this->*command->run)();
}

void Ctl::Plan()
{
  CompareSheet(&Ctl::End);
}

void Ctl::Apply()
{
  CompareSheet(&Ctl::PublishNext);
}

void Ctl::Status()
{
  store_.Get(HeadKey(), [this](Outcome<ObjectValue> aValue) {
    OnHead(std::move(aValue), &Ctl::SurveyAllHosts);
  });
}

void Ctl::Dump()
{
  const auto endpoint = Endpoint::Parse(arguments_.front());
  if (!endpoint) {
    End(endpoint.error());
    return;
  }
  environment_.hosts.Dump(
    endpoint.value(), options_.timeout, [this](Outcome<nlohmann::json> aDump) {
      if (!aDump) {
        End(ExitCode::kUnavailable, aDump.error());
        return;
      }
      report_.dump = std::move(aDump).value();
      End();
    });
}

void Ctl::Zone()
{
  const auto lifecycle = LifecycleOfVerb(arguments_[0]);
  if (!lifecycle) {
    End(lifecycle.error());
    return;
  }
  // A zone is named on purpose, so that only a service's last target is
  // guarded.
  ReadAndPublish(
    [id = arguments_[1],
     lifecycle = lifecycle.value()](const Configuration& aConfiguration) {
      return WithLifecycle(
        aConfiguration, &Configuration::zones, "zone", id, lifecycle);
    },
    kAllButOne);
}

void Ctl::Host()
{
  const auto lifecycle = LifecycleOfVerb(arguments_[0]);
  if (!lifecycle) {
    End(lifecycle.error());
    return;
  }
  ReadAndPublish(
    [id = arguments_[1],
     lifecycle = lifecycle.value()](const Configuration& aConfiguration) {
      return WithLifecycle(
        aConfiguration, &Configuration::hosts, "host", id, lifecycle);
    },
    kAllButOne);
}

void Ctl::History()
{
  store_.Get(HeadKey(), [this](Outcome<ObjectValue> aValue) {
    OnHead(std::move(aValue), &Ctl::ListWrites);
  });
}

void Ctl::Version()
{
  report_.programVersion = LACEWING_VERSION;
  End();
}

bool Ctl::ReadSheetFile(Configuration& aSheet)
{
  const auto text = ReadSheetText(arguments_.front());
  if (!text) {
    End(text.error());
    return false;
  }
  auto sheet = ReadSheet(text.value());
  if (!sheet) {
    report_.problems = sheet.error();
    End({ ErrorKind::kInvalidSheet,
          arguments_.front() + " has " +
            std::to_string(report_.problems.size()) + " problems",
          "correct them; nothing was changed" });
    return false;
  }
  aSheet = std::move(sheet).value();
  return true;
}

void Ctl::CompareSheet(void (Ctl::*aThen)())
{
  Configuration sheet;
  if (!ReadSheetFile(sheet)) {
    return;
  }
  auto local =
    EncodeConfig(sheet, ConfigHead(), MakeToken(environment_.random));
  if (!local) {
    End(ExitCode::kInvalidInput, local.error());
    return;
  }
  ReadConfig(
    store_,
    std::make_shared<const EncodedConfig>(std::move(local).value()),
    [this, sheet = std::move(sheet), aThen](Outcome<StoredConfig> aStored) {
      if (!aStored) {
        End(ExitCode::kUnavailable, aStored.error());
        return;
      }
      if (Compare(std::move(aStored).value(), sheet, options_.maxRemoval)) {
        (this->*aThen)();
      }
    });
}

void Ctl::ReadAndPublish(Change aChange, BasisPoints aMaxRemoval)
{
  ReadConfig(store_,
             nullptr,
             [this, change = std::move(aChange), aMaxRemoval](
               Outcome<StoredConfig> aStored) {
               if (!aStored) {
                 End(ExitCode::kUnavailable, aStored.error());
                 return;
               }
               auto next = change(*aStored.value().loaded.configuration);
               if (!next) {
                 End(next.error());
                 return;
               }
               if (Compare(std::move(aStored).value(),
                           std::move(next).value(),
                           aMaxRemoval)) {
                 PublishNext();
               }
             });
}

bool Ctl::Compare(StoredConfig aBase,
                  Configuration aNext,
                  BasisPoints aMaxRemoval)
{
  base_ = std::move(aBase);
  next_ = std::move(aNext);
  const Configuration& before = *base_.loaded.configuration;
  report_.version = before.version;
  report_.changes = DiffConfigurations(before, next_);
  if (!options_.allowRemoval) {
    const auto allowed = CheckRemoval(before, next_, aMaxRemoval);
    if (!allowed) {
      End(allowed.error());
      return false;
    }
  }
  return true;
}

void Ctl::PublishNext()
{
  if (report_.changes->empty()) {
    // The version may have been written by a command that gave up waiting.
    InForceWait wait;
    wait.version = base_.loaded.head.version;
    wait.adminPort = options_.controlAdminPort;
    wait.deadline = deadline_;
    WaitUntilInForce(environment_, store_, wait, [this](auto aHosts) {
      OnHostsInForce(std::move(aHosts));
    });
    return;
  }
  auto encoded =
    EncodeNextConfig(next_, base_.loaded, MakeToken(environment_.random));
  if (!encoded) {
    End(ExitCode::kInvalidInput, encoded.error());
    return;
  }
  const ConfigVersion version = encoded.value().head.version;
  Publication publication;
  publication.base = base_;
  publication.next =
    std::make_shared<const EncodedConfig>(std::move(encoded).value());
  publication.adminPort = options_.controlAdminPort;
  publication.deadline = deadline_;
  Publish(environment_,
          store_,
          std::move(publication),
          [this, version](PublicationResult aResult) {
            if (!aResult.written) {
              End(aResult.written.error());
              return;
            }
            report_.version = version;
            report_.written = true;
            if (!aResult.cleaned) {
              report_.notes.push_back("old objects were not deleted: " +
                                      aResult.cleaned.error().ToString());
            }
            OnHostsInForce(std::move(aResult.hosts));
          });
}

void Ctl::OnHostsInForce(Outcome<std::vector<HostReport>> aHosts)
{
  if (!aHosts) {
    End(report_.written ? ExitCode::kNotInForce : ExitCode::kUnavailable,
        aHosts.error());
    return;
  }
  report_.hosts = std::move(aHosts).value();
  if (const auto lagging = LaggingHosts(*report_.hosts, *report_.version)) {
    End(ExitCode::kNotInForce, *lagging);
    return;
  }
  End();
}

void Ctl::OnHead(Outcome<ObjectValue> aValue, void (Ctl::*aThen)())
{
  if (aValue) {
    const auto head = DecodeHead(aValue.value().body);
    if (!head) {
      End(ExitCode::kUnavailable, head.error());
      return;
    }
    base_.loaded.head = head.value();
    report_.version = head.value().version;
  } else if (aValue.error().kind == ErrorKind::kNotFound) {
    report_.version = ConfigVersion();
  } else {
    End(ExitCode::kUnavailable, aValue.error());
    return;
  }
  (this->*aThen)();
}

void Ctl::ListWrites()
{
  const ConfigHead& head = base_.loaded.head;
  if (!head.token.empty()) {
    report_.history.push_back({ head.token, head.version });
  }
  report_.history.insert(
    report_.history.end(), head.recent.begin(), head.recent.end());
  End();
}

void Ctl::SurveyAllHosts()
{
  SurveyHosts(store_,
              environment_.hosts,
              options_.controlAdminPort,
              std::min(options_.timeout, kHostTimeout),
              [this](auto aHosts) { OnHostsInForce(std::move(aHosts)); });
}

void Ctl::End()
{
  handler_(std::move(report_));
}

void Ctl::End(const Error& aError)
{
  End(ExitCodeOf(aError.kind), aError);
}

void Ctl::End(ExitCode aExitCode, const Error& aError)
{
  report_.exitCode = aExitCode;
  report_.error = aError;
  handler_(std::move(report_));
}

} // namespace lacewing
