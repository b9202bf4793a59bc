#include "config/SheetReader.h"
#include "config/ConfigEncoder.h"
#include "config/SettingText.h"
#include "support/ConfigGenerators.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewing;

namespace {

const std::string kHeading =
  "kind,id,service,zone,address,state,slots,connections,idempotent methods,"
  "deadline,measuring budget,cold-start limit,cold time,ramp time\n";
const std::string kZone = "zone,bole,,,,in-service,,,,,,,,\n";
const std::string kService =
  "service,ledger,,,,,3,250,GET HEAD,10 s,1 %,1,3 s,5 s\n";
const std::string kHost = "host,h1,,bole,,joining,,,,,,,,\n";
const std::string kTarget =
  "target,t1,ledger,bole,127.0.0.1:9001,leaving,,,,,,,,\n";

void CheckGoodSheet(const std::string& aText)
{
  const auto sheet = ReadSheet(aText);
  REQUIRE_MESSAGE(sheet.has_value(), sheet.error().front().ToString());
  const ServiceConfig& service =
    *sheet.value().services.at(ServiceId("ledger"));
  CHECK(service.slots == SlotCount(3));
  CHECK(service.connections == ConnectionCount(250));
  CHECK(service.idempotentMethods == std::set<std::string>{ "GET", "HEAD" });
  CHECK(service.deadline == std::chrono::seconds(10));
  CHECK(service.measuringBudget == BasisPoints(100));
  CHECK(service.coldTime == std::chrono::seconds(3));
  REQUIRE(service.targets.size() == 1);
  CHECK(service.targets[0].endpoint == Endpoint{ "127.0.0.1", 9001 });
  CHECK(service.targets[0].lifecycle == Lifecycle::kLeaving);
  CHECK(sheet.value().hosts.at(HostId("h1")).lifecycle == Lifecycle::kJoining);
}

SheetProblems ProblemsOf(const std::string& aRows)
{
  const auto sheet = ReadSheet(kHeading + aRows);
  REQUIRE(sheet.has_error());
  return sheet.error();
}

bool Has(const SheetProblems& aProblems,
         std::uint32_t aRow,
         const std::string& aColumn,
         const std::string& aFound)
{
  return std::any_of(
    aProblems.begin(), aProblems.end(), [&](const SheetProblem& aProblem) {
      return aProblem.row == RowNumber(aRow) && aProblem.column == aColumn &&
             aProblem.found.find(aFound) != std::string::npos &&
             !aProblem.remedy.empty();
    });
}

std::string Replaced(std::string aText, const std::string& aOld, char aNew)
{
  for (auto at = aText.find(aOld); at != std::string::npos;
       at = aText.find(aOld)) {
    aText.replace(at, aOld.size(), 1, aNew);
  }
  return aText;
}

} // namespace

// Guards against refusing what the usual spreadsheets export.
TEST_CASE("sheets are read as spreadsheets export them")
{
  const std::string sheet = kHeading + kZone + kService + kHost + kTarget;
  CheckGoodSheet(sheet);
  CheckGoodSheet("\xef\xbb\xbf" + sheet);
  CheckGoodSheet(Replaced(sheet, ",", ';'));
  std::string crlf;
  for (const char c : sheet) {
    crlf += c == '\n' ? "\r\n" : std::string(1, c);
  }
  CheckGoodSheet(crlf);
  CheckGoodSheet(sheet.substr(0, sheet.size() - 1));
  CheckGoodSheet("kind,ID,Ramp_Time,deadline,cold start limit,cold-time,slots,"
                 "connections,measuring budget,idempotent methods,zone,state,"
                 "address,service,\n"
                 "target,\"t1\",,,,,,,,,bole,leaving,127.0.0.1:9001,ledger,\n"
                 "\n"
                 "host,h1,,,,,,,,,bole,joining,\n"
                 "service,ledger,5000ms,\"10 s\",1,3 s,3,250,\"1,00 %\","
                 "\"GET HEAD\"\n"
                 "zone,bole,,,,,,,,,,in-service\n");
}

// Guards against reporting only the first bad row, and against messages that
// name the wrong row after empty lines or cells with line breaks.
TEST_CASE("all bad rows are reported with row, column and remedy")
{
  const SheetProblems problems =
    ProblemsOf(kZone + "\r\n" +
               "service,a,,,,,0,250,get,10,200 %,1,3 s,2 h\n" // 4
               "target,t1,b,nowhere,localhost,up,7,,,,,,,\n"  // 5
               "zone,bole,,,,out,,,,,,,,\n"                   // 6
               "shelf,x,,,,,,,,,,,,\n"                        // 7
               "host,\"a\nb\",,bole,,,,,,,,,,\n"              // 8
               "zone,c,,,,out,,,,,,,,,,\n");                  // 9
  CHECK(Has(problems, 4, "slots", "\"0\""));
  CHECK(Has(problems, 4, "idempotent methods", "\"get\""));
  CHECK(Has(problems, 4, "deadline", "\"10\""));
  CHECK(Has(problems, 4, "measuring budget", "\"200 %\""));
  CHECK(Has(problems, 4, "ramp time", "\"2 h\""));
  CHECK(Has(problems, 5, "service", "unknown service \"b\""));
  CHECK(Has(problems, 5, "zone", "unknown zone \"nowhere\""));
  CHECK(Has(problems, 5, "address", "\"localhost\""));
  CHECK(Has(problems, 5, "state", "\"up\""));
  CHECK(Has(problems, 5, "slots", "\"7\""));
  CHECK(Has(problems, 6, "id", "\"bole\" again"));
  CHECK(Has(problems, 7, "kind", "\"shelf\""));
  CHECK(Has(problems, 8, "id", "\"a?b\""));
  CHECK(Has(problems, 8, "state", "an empty cell"));
  CHECK(Has(problems, 9, "", "16 cells"));
  CHECK(problems.size() == 15);
  CHECK(problems.front().ToString() ==
        "row 4, column slots: found \"0\"; write a value from 1 to 4096");
}

// Guards against two targets that share an id or an address, and against a
// cold-start limit that no slot count allows.
TEST_CASE("duplicates and contradictions between rows are reported")
{
  const SheetProblems problems =
    ProblemsOf(kZone + kService + kTarget +
               "target,t1,ledger,bole,127.0.0.1:9002,out,,,,,,,,\n"
               "target,t2,ledger,bole,127.0.0.1:9001,out,,,,,,,,\n" +
               kService + "service,intake,,,,,3,250,none,10 s,1 %,4,3 s,5 s\n");
  CHECK(Has(problems, 5, "id", "\"t1\" again"));
  CHECK(Has(problems, 6, "address", "\"127.0.0.1:9001\" again"));
  CHECK(Has(problems, 7, "id", "\"ledger\" again"));
  CHECK(Has(problems, 8, "cold-start limit", "4"));
  CHECK(problems.size() == 4);
}

// Guards against a mistyped or missing column being read as empty cells.
TEST_CASE("unknown, repeated and missing columns are reported")
{
  const auto unknown = ReadSheet("kind,id,stat,state,state\n" + kZone);
  REQUIRE(unknown.has_error());
  CHECK(Has(unknown.error(), 1, "3", "unknown heading \"stat\""));
  CHECK(Has(unknown.error(), 1, "state", "a second time"));
  const auto missing = ReadSheet("kind,id\nzone,bole\nzone,arada\n");
  REQUIRE(missing.has_error());
  CHECK(missing.error().size() == 1);
  CHECK(Has(missing.error(), 1, "state", "no such column"));
  CHECK(ReadSheet("id\nbole\n").has_error());
  CHECK(ReadSheet("").has_error());
  CHECK(ReadSheet("\xff\xfek\0").has_error());
}

// Guards against an unclosed quotation mark swallowing the rest of the sheet
// without a word, and against unbounded input.
TEST_CASE("broken quotation and oversize input are reported")
{
  const SheetProblems problems =
    ProblemsOf(kZone + "zone,\"arada,,,,out,,,,,,,,\n" + kHost);
  CHECK(Has(problems, 3, "", "quotation mark"));
  CHECK(Has(ProblemsOf(kZone + "zone,\"a\"b,,,,out\n"), 3, "", "quotation"));
  CHECK(ReadSheet(std::string((16U << 20U) + 1, 'a')).has_error());
}

// Guards against crashes on arbitrary input, and against accepting a sheet
// whose configuration cannot be published.
TEST_CASE("random sheets never crash the reader")
{
  CHECK(rc::check([] {
    (void)ReadSheet(*rc::gen::arbitrary<std::string>());
    const std::string good = kHeading + kZone + kService + kHost + kTarget;
    std::string altered = good;
    altered[*rc::gen::inRange<std::size_t>(0, good.size())] =
      *rc::gen::element(',', '"', '\n', '\r', ' ', '0', '9', 'x', '\0', '\xff');
    const auto sheet = ReadSheet(altered);
    if (sheet) {
      RC_ASSERT(EncodeConfig(sheet.value(), ConfigHead(), WriteToken("t1"))
                  .has_value());
    } else {
      RC_ASSERT(!sheet.error().empty());
    }
  }));
}

// Guards against values that change between sheet and message, and against
// units that are guessed.
TEST_CASE("settings are read and written alike")
{
  const auto& fields = ServiceFields();
  const auto field = [&](const std::string& aHeading) {
    return *std::find_if(fields.begin(), fields.end(), [&](const auto& aField) {
      return aHeading == aField.heading;
    });
  };
  ServiceConfig service;
  for (const char* wrong : { "",
                             "ms",
                             "10",
                             "-1 s",
                             "1 S",
                             "1500 us",
                             "2 h",
                             "0 ms",
                             "99999999999 h",
                             "9e9 s" }) {
    CHECK_MESSAGE(!ParseSetting(field("deadline"), wrong, service).has_value(),
                  wrong);
  }
  for (const char* wrong : { "", "1", "101 %", "0.001 %", "% 1", "one %" }) {
    CHECK_MESSAGE(
      !ParseSetting(field("measuring budget"), wrong, service).has_value(),
      wrong);
  }
  for (const char* wrong : { "", "0", "-1", "1.0", "4097", "3 slots" }) {
    CHECK_MESSAGE(!ParseSetting(field("slots"), wrong, service).has_value(),
                  wrong);
  }
  REQUIRE(
    ParseSetting(field("measuring budget"), "0,25%", service).has_value());
  CHECK(service.measuringBudget == BasisPoints(25));
  CHECK(rc::check([&] {
    const Configuration configuration = AnyConfiguration();
    for (const auto& [id, original] : configuration.services) {
      ServiceConfig copy;
      copy.idempotentMethods.clear();
      for (const ServiceField& each : fields) {
        const std::string text = FormatSetting(each, *original);
        RC_ASSERT(ParseSetting(each, text, copy).has_value());
        RC_ASSERT(FormatSetting(each, copy) == text);
      }
      RC_ASSERT(copy.deadline == original->deadline);
      RC_ASSERT(copy.idempotentMethods == original->idempotentMethods);
    }
  }));
}
