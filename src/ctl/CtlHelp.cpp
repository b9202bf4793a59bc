#include "ctl/CtlHelp.h"

#include "ctl/Ctl.h"

#include <sstream>

namespace lacewing {

namespace {

constexpr const char* kFlags =
  "Flags:\n"
  "  --platform=ADDRESS:PORT    the platform's store (127.0.0.1:7000)\n"
  "  --timeout=30s              time for the whole command\n"
  "  --output=text|json         lines for people or one JSON object\n"
  "  --allow-removal            lets a plan take away any number of targets\n"
  "  --max-removal=\"25 %\"       share of a service's targets that a sheet\n"
  "                             may take away without --allow-removal\n"
  "  --control_admin_port=7071  for hosts that are listed without a port\n";

constexpr const char* kCheck =
  "  check CONFIG.json\n"
  "      Checks a configuration of lacewing-hostd, without the store. Exit\n"
  "      codes: 0 in order, 1 only differences from CURRENT, 2 errors, 3 a "
  "file\n"
  "      cannot be read.\n"
  "      $ lacewingctl check main.json\n"
  "      $ lacewingctl check --against=current.json main.json\n";

constexpr const char* kExitCodes =
  "Exit codes:\n"
  "  0  done\n"
  "  1  usage: unknown command, flag or argument\n"
  "  2  invalid input: the sheet or the name given; nothing was changed\n"
  "  3  refused by the guard; nothing was changed\n"
  "  4  conflict: another operator changed the configuration first\n"
  "  5  platform unavailable, or daemon for dump; the message tells whether\n"
  "     a write may have taken effect\n"
  "  6  applied, but not in force on every live host in time; for status:\n"
  "     not in force on every live host\n";

constexpr const char* kSheet =
  "Sheets are CSV (comma or semicolon, UTF-8) with the columns kind and id "
  "and,\n"
  "in any order, those that the kind of a row needs:\n"
  "  zone     state\n"
  "  host     zone, state\n"
  "  target   service, zone, address, state\n"
  "  service  slots, connections, idempotent methods, deadline,\n"
  "           measuring budget, cold-start limit, cold time, ramp time\n"
  "States are joining, in-service, leaving and out. Times and shares have\n"
  "units (250 ms, 3 s, 1 %); methods have spaces between them, or none.\n";

std::string CommandHelp(const CtlCommand& aCommand)
{
  std::string text = std::string("  ") + aCommand.name;
  if (*aCommand.arguments != '\0') {
    text += std::string(" ") + aCommand.arguments;
  }
  text += std::string("\n      ") + aCommand.summary + "\n";
  std::istringstream examples(aCommand.examples);
  for (std::string example; std::getline(examples, example);) {
    text += "      $ " + example + "\n";
  }
  return text;
}

} // namespace

std::string CtlHelp(const std::string& aCommand)
{
  std::string commands;
  for (const CtlCommand& command : Ctl::Commands()) {
    if (aCommand == command.name) {
      return "usage: lacewingctl [FLAGS] " + std::string(command.name) + " " +
             command.arguments + "\n" + CommandHelp(command) + "\n" + kFlags;
    }
    commands += CommandHelp(command);
  }
  if (aCommand == "check") {
    return "usage: lacewingctl [--against=CURRENT.json] [--output=text|json] "
           "check CONFIG.json\n" +
           std::string(kCheck);
  }
  return "usage: lacewingctl [FLAGS] COMMAND [ARGUMENTS]\n\nCommands:\n" +
         commands + kCheck + "\n" + kFlags + "\n" + kExitCodes + "\n" + kSheet;
}

} // namespace lacewing
