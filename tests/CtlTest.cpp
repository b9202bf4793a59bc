#include "ctl/BlobCleaner.h"
#include "ctl/ReportFormat.h"
#include "support/CtlBench.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewing;

namespace {

/** A sheet of two zones and two services with aTargets targets each. */
std::string Sheet(int aTargets, const std::string& aDeadline = "10 s")
{
  std::string text =
    "kind,id,service,zone,address,state,slots,connections,idempotent "
    "methods,deadline,measuring budget,cold-start limit,cold time,ramp time\n"
    "zone,bole,,,,in-service\n"
    "zone,arada,,,,in-service\n"
    "host,h1,,bole,,in-service\n";
  int port = 9000;
  for (const std::string service : { "ledger", "intake" }) {
    text += "service," + service + ",,,,,3,250,GET HEAD," +
            (service == "ledger" ? aDeadline : "10 s") + ",1 %,1,3 s,5 s\n";
    for (int i = 0; i < aTargets; ++i) {
      text += "target," + service + "-" + std::to_string(i) + "," + service +
              (i % 2 == 0 ? ",bole," : ",arada,") +
              "127.0.0.1:" + std::to_string(++port) + ",in-service\n";
    }
  }
  return text;
}

bool Mentions(const CtlReport& aReport, const std::string& aText)
{
  return aReport.error &&
         aReport.error->ToString().find(aText) != std::string::npos;
}

/** Lets a fate befall the first write of the head. */
std::function<WriteFate(const ObjectKey&)> FirstHeadWrite(
  WriteFate aFate,
  std::function<void()> aBefore = nullptr)
{
  return [aFate, aBefore, done = false](const ObjectKey& aKey) mutable {
    if (done || aKey != HeadKey()) {
      return WriteFate::kNormal;
    }
    done = true;
    if (aBefore) {
      aBefore();
    }
    return aFate;
  };
}

/** Another operator's change of aService. */
void WriteAsOther(MemoryObjectStore& aStore, const ServiceId& aService)
{
  const ObjectValue& current = aStore.objects.at(HeadKey());
  const ConfigHead head = DecodeHead(current.body).value();
  ConfigHead next =
    NextHead(head, WriteToken("other-" + std::to_string(head.version.value())));
  const ObjectName name = ServiceObject(aService);
  const BlobHash hash = HashOfBlob(next.token.value());
  next.entries[name] = { hash, BlobKey(name, hash) };
  REQUIRE(aStore
            .Apply(HeadKey(),
                   EncodeHead(next).value(),
                   ObjectCondition{ current.tag })
            .has_value());
}

} // namespace

// Guards against heads that name blobs which are not there yet, and against
// writing more than a change touches.
TEST_CASE("apply writes the changed blobs and then the head")
{
  CtlBench bench;
  const CtlReport first = bench.RunSheet("apply", Sheet(4));
  CHECK(first.exitCode == ExitCode::kDone);
  CHECK(first.version == ConfigVersion(1));
  CHECK(first.hosts->size() == 2);
  REQUIRE(bench.store.puts.size() == 6);
  CHECK(bench.store.puts[4] == HeadKey());

  bench.store.puts.clear();
  const CtlReport second = bench.RunSheet("apply", Sheet(4, "250 ms"));
  CHECK(second.exitCode == ExitCode::kDone);
  REQUIRE(second.changes->size() == 1);
  CHECK(second.changes->front().ToString() ==
        "service ledger: changed: deadline from 10 s to 250 ms");
  REQUIRE(bench.store.puts.size() == 3);
  CHECK(bench.store.puts[0].value().find("service/ledger") !=
        std::string::npos);
  CHECK(bench.store.puts[1] == HeadKey());

  bench.store.puts.clear();
  CHECK(bench.RunSheet("apply", Sheet(4, "250 ms")).exitCode ==
        ExitCode::kDone);
  CHECK(bench.store.puts.empty());
  CHECK(bench.Head().version == ConfigVersion(2));
}

// Guards against a plan that changes something, and against a sheet that is
// applied in part.
TEST_CASE("plan and bad sheets write nothing")
{
  CtlBench bench;
  const CtlReport plan = bench.RunSheet("plan", Sheet(4));
  CHECK(plan.exitCode == ExitCode::kDone);
  CHECK(plan.changes->size() == 13);
  const CtlReport bad =
    bench.RunSheet("apply", Sheet(4, "soon") + "zone,,,,,up\n");
  CHECK(bad.exitCode == ExitCode::kInvalidInput);
  CHECK(bad.problems.size() == 3);
  CHECK(bench.Run({ "apply", "/nonexistent.csv" }).exitCode ==
        ExitCode::kInvalidInput);
  CHECK(bench.RunSheet("apply", std::string((16U << 20U) + 1, ' ')).exitCode ==
        ExitCode::kInvalidInput);
  CHECK(bench.RunSheet("apply", Sheet(20'000)).exitCode ==
        ExitCode::kInvalidInput);
  CHECK(bench.store.objects.empty());
  CHECK(bench.Run({ "apply" }).exitCode == ExitCode::kUsage);
  CHECK(bench.Run({ "zone", "up", "bole" }).exitCode == ExitCode::kUsage);
  CHECK(bench.Run({ "zone", "out", "bole" }).exitCode ==
        ExitCode::kInvalidInput);
}

// Guards against a cut-off sheet being applied by habit.
TEST_CASE("the guard refuses large removals unless they are allowed")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  CHECK(bench.RunSheet("plan", Sheet(2)).exitCode == ExitCode::kRefused);
  CHECK(bench.RunSheet("apply", Sheet(2)).exitCode == ExitCode::kRefused);
  CHECK(bench.Head().version == ConfigVersion(1));
  bench.options.allowRemoval = true;
  CHECK(bench.RunSheet("apply", Sheet(2)).exitCode == ExitCode::kDone);
  CHECK(bench.Head().version == ConfigVersion(2));
}

// Guards against a zone command that rewrites services, and against taking
// away a service's last targets.
TEST_CASE("zone and host commands change one object")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  const ConfigHead before = bench.Head();
  const CtlReport out = bench.Run({ "zone", "out", "bole" });
  CHECK(out.exitCode == ExitCode::kDone);
  CHECK(out.changes->front().ToString() ==
        "zone bole: changed: state from in-service to out");
  CHECK(ChangedObjects(before, bench.Head()) ==
        std::vector<ObjectName>{ ZonesObject() });
  CHECK(bench.Run({ "zone", "leave", "arada" }).exitCode == ExitCode::kRefused);
  CHECK(bench.Run({ "zone", "join", "bole" }).exitCode == ExitCode::kDone);
  CHECK(bench.Run({ "host", "leave", "h1" }).exitCode == ExitCode::kDone);
  const CtlReport unknown = bench.Run({ "host", "out", "h9" });
  CHECK(unknown.exitCode == ExitCode::kInvalidInput);
  CHECK(Mentions(unknown, "write one of: h1"));
}

// Guards against the later of two operators overwriting the earlier one.
TEST_CASE("the later of two operators gets a conflict that names the change")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  bench.store.onPut = FirstHeadWrite(WriteFate::kNormal, [&] {
    WriteAsOther(bench.store, ServiceId("intake"));
  });
  const CtlReport report = bench.RunSheet("apply", Sheet(4, "250 ms"));
  CHECK(report.exitCode == ExitCode::kConflict);
  CHECK(Mentions(report, "and changed: service/intake;"));
  CHECK(bench.Head().token == WriteToken("other-1"));
}

// Guards against reporting a written change as failed, against writing it
// twice, and against taking another writer's version for the own.
TEST_CASE("a lost answer to the head's write is settled")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  const std::string sheet = Sheet(4, "250 ms");
  ExitCode expected = ExitCode::kDone;
  std::uint64_t version = 2;
  SUBCASE("applied")
  {
    bench.store.onPut = FirstHeadWrite(WriteFate::kAppliedAnswerLost);
  }
  SUBCASE("not applied")
  {
    bench.store.onPut = FirstHeadWrite(WriteFate::kDropped);
  }
  SUBCASE("applied after it was read back")
  {
    bench.store.onPut = [&, writes = 0](const ObjectKey& aKey) mutable {
      if (aKey == HeadKey() && ++writes == 2) {
        bench.store.ApplyLate();
      }
      return aKey == HeadKey() && writes == 1 ? WriteFate::kLate
                                              : WriteFate::kNormal;
    };
  }
  SUBCASE("applied, and reads are stale for a while")
  {
    bench.store.onPut = FirstHeadWrite(WriteFate::kAppliedAnswerLost, [&] {
      bench.store.stale = bench.store.objects;
    });
    bench.store.onGet = [&, reads = 0](const ObjectKey& aKey) mutable {
      if (aKey == HeadKey() && bench.store.stale && ++reads == 3) {
        bench.store.stale.reset();
      }
    };
  }
  SUBCASE("applied, and the head has moved on since")
  {
    version = 4;
    bench.store.onPut = FirstHeadWrite(WriteFate::kAppliedAnswerLost);
    bench.store.onGet = [&, done = false](const ObjectKey& aKey) mutable {
      if (aKey == HeadKey() && !done &&
          bench.Head().version == ConfigVersion(2)) {
        done = true;
        WriteAsOther(bench.store, ServiceId("intake"));
        WriteAsOther(bench.store, ServiceId("intake"));
      }
    };
  }
  SUBCASE("not applied, and others have written since")
  {
    expected = ExitCode::kConflict;
    version = 3;
    bench.store.onPut = FirstHeadWrite(WriteFate::kDropped, [&] {
      WriteAsOther(bench.store, ServiceId("intake"));
      WriteAsOther(bench.store, ServiceId("intake"));
    });
  }
  SUBCASE("not applied, and far more writes since than the head remembers")
  {
    expected = ExitCode::kUnavailable;
    version = 101;
    bench.store.onPut = FirstHeadWrite(WriteFate::kDropped, [&] {
      for (int i = 0; i < 100; ++i) {
        WriteAsOther(bench.store, ServiceId("intake"));
      }
    });
  }
  const CtlReport report = bench.RunSheet("apply", sheet);
  CHECK(report.exitCode == expected);
  CHECK(bench.Head().version == ConfigVersion(version));
  if (expected == ExitCode::kDone) {
    CHECK(report.written);
    CHECK(report.version == ConfigVersion(2));
  }
  CHECK(Mentions(report, "is unknown") == (expected == ExitCode::kUnavailable));
}

// Guards against a lost answer to a blob's write ending the command.
TEST_CASE("lost answers to the writes of blobs are repeated")
{
  CtlBench bench;
  bench.store.onPut = [count = 0](const ObjectKey& aKey) mutable {
    return aKey == HeadKey() || ++count % 2 == 0 ? WriteFate::kNormal
           : count % 4 == 1                      ? WriteFate::kDropped
                            : WriteFate::kAppliedAnswerLost;
  };
  CHECK(bench.RunSheet("apply", Sheet(4)).exitCode == ExitCode::kDone);
}

// Guards against an outage that hangs a command or hides whether it wrote.
TEST_CASE("a store that is down ends commands with exit code 5")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  bench.options.timeout = std::chrono::milliseconds(200);
  SUBCASE("from the start")
  {
    bench.store.down = true;
    CHECK(bench.RunSheet("apply", Sheet(4, "1 s")).exitCode ==
          ExitCode::kUnavailable);
    CHECK(bench.Run({ "status" }).exitCode == ExitCode::kUnavailable);
    CHECK(bench.Run({ "history" }).exitCode == ExitCode::kUnavailable);
    CHECK(bench.Head().version == ConfigVersion(1));
  }
  SUBCASE("from the head's write on")
  {
    bench.store.onPut = FirstHeadWrite(WriteFate::kAppliedAnswerLost,
                                       [&] { bench.store.down = true; });
    const CtlReport report = bench.RunSheet("apply", Sheet(4, "1 s"));
    CHECK(report.exitCode == ExitCode::kUnavailable);
    CHECK(Mentions(report, "whether version 2 was written is unknown"));
  }
}

// Guards against reporting success while hosts still use the old version.
TEST_CASE("hosts that do not have the version in force are named")
{
  CtlBench bench;
  bench.options.timeout = std::chrono::milliseconds(500);
  const nlohmann::json old = { { "config_version", 0U } };
  bench.hosts.exceptions.emplace("127.0.0.11:7071", old);
  bench.hosts.exceptions.emplace(
    "127.0.0.12:7099", Fail(ErrorKind::kUnavailable, "refused", "start it"));
  const CtlReport report = bench.RunSheet("apply", Sheet(4));
  CHECK(report.exitCode == ExitCode::kNotInForce);
  CHECK(report.written);
  CHECK(Mentions(report, "h1 (version 0), h2 (refused)"));
  const CtlReport status = bench.Run({ "status" });
  CHECK(status.exitCode == ExitCode::kNotInForce);
  const std::string table =
    MakeReportFormat("text").value()->Format(status).output;
  CHECK(table ==
        "version 1 in the store\n"
        "HOST  ZONE   ADDRESS          STATE  VERSION  NOTE\n"
        "h1    bole   127.0.0.11       live   0        still an older version\n"
        "h2    arada  127.0.0.12:7099  live   unknown  refused\n"
        "in force on 0 of 2 live hosts\n");
  bench.hosts.exceptions.clear();
  bench.store.hosts[0].leaving = true;
  CHECK(bench.RunSheet("apply", Sheet(4)).exitCode == ExitCode::kDone);
  CHECK(bench.Run({ "status" }).exitCode == ExitCode::kDone);
}

// Guards against a store that fills up, and against deleting what hosts that
// lag behind, or the current version, still need.
TEST_CASE("blobs are kept for 16 versions and then deleted unless in use")
{
  CtlBench bench;
  const ObjectName ledger = ServiceObject(ServiceId("ledger"));
  bench.RunSheet("apply", Sheet(4));
  bench.RunSheet("apply", Sheet(4, "1 s"));
  const ObjectKey replaced = bench.Head().entries.at(ledger).key;
  // Takes the blob of version 1, which version 2 has retired, to use again.
  bench.RunSheet("apply", Sheet(4));
  for (int i = 0; i < 15; ++i) {
    REQUIRE(
      bench.Run({ "host", i % 2 == 0 ? "leave" : "join", "h1" }).exitCode ==
      ExitCode::kDone);
  }
  CHECK(bench.Head().version == ConfigVersion(2 + kKeptVersions));
  CHECK(bench.store.objects.count(replaced) == 1);
  REQUIRE(bench.Run({ "host", "out", "h1" }).exitCode == ExitCode::kDone);
  CHECK(bench.store.objects.count(replaced) == 0);
  for (const auto& [name, entry] : bench.Head().entries) {
    CHECK_MESSAGE(bench.store.objects.count(entry.key) == 1, name);
  }
  CHECK(bench.store.objects.count(RetiredKey(ConfigVersion(3))) == 0);
  CHECK(bench.store.objects.count(RetiredKey(ConfigVersion(4))) == 1);
}

// Guards against another operator's clean-up that deletes a blob between its
// reuse and the head's write.
TEST_CASE("a reused blob that is deleted meanwhile is created again")
{
  CtlBench bench;
  bench.RunSheet("apply", Sheet(4));
  bench.RunSheet("apply", Sheet(4, "1 s"));
  bench.store.onPut = FirstHeadWrite(WriteFate::kNormal, [&] {
    auto& objects = bench.store.objects;
    const std::string prefix = "config/blob/service/ledger/";
    for (auto object = objects.lower_bound(ObjectKey(prefix));
         object->first.value().rfind(prefix, 0) == 0;) {
      object = objects.erase(object);
    }
  });
  CHECK(bench.RunSheet("apply", Sheet(4)).exitCode == ExitCode::kDone);
  const ConfigHead head = bench.Head();
  CHECK(head.version == ConfigVersion(3));
  CHECK(bench.store.objects.count(
          head.entries.at(ServiceObject(ServiceId("ledger"))).key) == 1);
}

// Guards against JSON output that a script cannot parse or that hides errors.
TEST_CASE("every report can be printed as JSON")
{
  CtlBench bench;
  const auto format = MakeReportFormat("json").value();
  const auto print = [&](const CtlReport& aReport) {
    return nlohmann::json::parse(format->Format(aReport).output);
  };
  const auto bad = print(bench.RunSheet("plan", Sheet(4) + "\xff,x\n"));
  CHECK(bad["exit_code"] == 2);
  CHECK(bad["problems"][0]["column"] == "kind");
  CHECK(bad["error"]["kind"] == "invalid-sheet");
  const auto good = print(bench.RunSheet("apply", Sheet(4)));
  CHECK(good["exit_code"] == 0);
  CHECK(good["version"] == 1);
  CHECK(good["hosts"][1]["in_force"] == true);
  CHECK(good["changes"].size() == 13);
  CHECK(print(bench.Run({ "history" }))["history"].size() == 1);
  CHECK(print(bench.Run(
          { "dump", "127.0.0.11:7071" }))["dump"]["config_version"] == 1);
  CHECK(print(bench.Run({ "version" }))["program_version"] == LACEWING_VERSION);
  CHECK(MakeReportFormat("xml").has_error());
}
