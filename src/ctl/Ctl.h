#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "config/EncodedConfig.h"
#include "ctl/CtlCommand.h"
#include "ctl/CtlEnvironment.h"
#include "ctl/CtlOptions.h"
#include "ctl/CtlReport.h"
#include "ctl/RetryingStore.h"
#include "ctl/StoredConfig.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/** Runs one command of the operators' client on an io_context. */
class Ctl
{
public:
  using Handler = std::function<void(CtlReport)>;

  /** The arguments are the command's name and its own arguments. */
  Ctl(const CtlEnvironment& aEnvironment,
      const CtlOptions& aOptions,
      std::vector<std::string> aArguments);

  /** Calls aHandler once, possibly at once; the object must live till then. */
  void Run(Handler aHandler);

  static const std::array<CtlCommand, 8>& Commands();

private:
  void Plan();
  void Apply();
  void Status();
  void Dump();
  void Zone();
  void Host();
  void History();
  void Version();

  /** A change of the configuration; fails when it cannot be made. */
  using Change = std::function<Outcome<Configuration>(const Configuration&)>;

  /** Reads the sheet of the first argument; reports problems and ends. */
  bool ReadSheetFile(Configuration& aSheet);
  /** Compares the sheet with the store and goes on with aThen. */
  void CompareSheet(void (Ctl::*aThen)());
  /** Reads the store, makes the change and publishes it. */
  void ReadAndPublish(Change aChange, BasisPoints aMaxRemoval);
  /** Sets next_ and the changes, and checks the guard; ends on failure. */
  bool Compare(StoredConfig aBase,
               Configuration aNext,
               BasisPoints aMaxRemoval);
  void PublishNext();
  void OnHostsInForce(Outcome<std::vector<HostReport>> aHosts);
  void OnHead(Outcome<ObjectValue> aValue, void (Ctl::*aThen)());
  void ListWrites();
  void SurveyAllHosts();

  void End();
  void End(const Error& aError);
  void End(ExitCode aExitCode, const Error& aError);

  CtlEnvironment environment_;
  CtlOptions options_;
  std::vector<std::string> arguments_;
  TimePoint deadline_;
  RetryingStore store_;
  Handler handler_;
  CtlReport report_;
  StoredConfig base_;
  Configuration next_;
};

} // namespace lacewing

#endif // CTL_CTL_H
