#include "store/HttpObjectStore.h"
#include "support/TestPlatform.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

const ObjectKey kKey("config/blob/service/a b");

struct Fixture
{
  /** Waits for the outcome of one call. */
  template<class T, class Start>
  Outcome<T> Await(Start aStart)
  {
    std::optional<Outcome<T>> result;
    aStart([&](Outcome<T> aResult) { result = std::move(aResult); });
    REQUIRE_FALSE(result);
    REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
    return *std::move(result);
  }

  Outcome<ObjectTag> Put(const std::string& aBody, const ObjectCondition& aIf)
  {
    return Await<ObjectTag>(
      [&](auto aHandler) { store.Put(kKey, aBody, aIf, aHandler); });
  }

  Outcome<ObjectValue> Get()
  {
    return Await<ObjectValue>(
      [&](auto aHandler) { store.Get(kKey, aHandler); });
  }

  asio::io_context context;
  TestPlatform platform{ context };
  HttpObjectStore store{ context,
                         { platform.Where(), std::chrono::milliseconds(300) } };
};

} // namespace

// Guards against conditions, tags or keys that are lost on the way, so that
// racing writers overwrite each other.
TEST_CASE_FIXTURE(Fixture, "the store's conditional writes reach the platform")
{
  CHECK(Get().error().kind == ErrorKind::kNotFound);
  const auto first = Put("one", {});
  REQUIRE(first.has_value());
  CHECK(Put("two", {}).error().kind == ErrorKind::kConflict);
  const auto second = Put("two", { first.value() });
  REQUIRE(second.has_value());
  CHECK(Put("three", { first.value() }).error().kind == ErrorKind::kConflict);
  const auto value = Get();
  REQUIRE(value.has_value());
  CHECK(value.value().body == "two");
  CHECK(value.value().tag == second.value());
  const auto list = Await<std::vector<std::pair<ObjectKey, ObjectTag>>>(
    [&](auto aHandler) { store.List("config/", aHandler); });
  REQUIRE(list.has_value());
  CHECK(list.value() == std::vector<std::pair<ObjectKey, ObjectTag>>{
                          { kKey, second.value() } });
  CHECK(Put(std::string(2U << 20U, 'x'), { second.value() }).error().kind ==
        ErrorKind::kTooLarge);
}

// Guards against a write whose answer is lost being reported as not applied,
// and against the opposite for a store that cannot be reached.
TEST_CASE_FIXTURE(Fixture, "the store tells lost answers from refused calls")
{
  platform.SetFaults(R"({"lose_write_answers":1})");
  CHECK(Put("one", {}).error().kind == ErrorKind::kTimeout);
  CHECK(Get().value().body == "one");
  platform.SetFaults(R"({"slow_ms":1000})");
  CHECK(Put("two", {}).error().kind == ErrorKind::kTimeout);
  platform.SetFaults(R"({"slow_ms":0,"down":true})");
  CHECK(Get().error().kind == ErrorKind::kUnavailable);

  HttpObjectStore nowhere(context, { { "127.0.0.1", FreePort() }, {} });
  const auto refused = Await<ObjectTag>(
    [&](auto aHandler) { nowhere.Put(kKey, "x", {}, aHandler); });
  CHECK(refused.error().kind == ErrorKind::kUnavailable);
  CHECK(nowhere.Counts().failed[1] == 1);
}

// Guards against a watch that misses a change or times out as an error.
TEST_CASE_FIXTURE(Fixture, "a watch of the store reports a change or nothing")
{
  const ObjectTag tag = Put("one", {}).value();
  const auto watch = [&](auto aHandler) {
    store.Watch(kKey, tag, std::chrono::milliseconds(50), aHandler);
  };
  CHECK_FALSE(Await<std::optional<ObjectValue>>(watch).value().has_value());
  store.Put(kKey, "two", { tag }, [](const Outcome<ObjectTag>&) {});
  CHECK(Await<std::optional<ObjectValue>>(watch).value()->body == "two");
}

// Guards against a malformed host list being taken for an empty one.
TEST_CASE_FIXTURE(Fixture, "the store reads the platform's host list")
{
  platform.AddHost("h1", "Bole");
  const auto hosts = Await<std::vector<ListedHost>>(
    [&](auto aHandler) { store.Hosts(aHandler); });
  REQUIRE(hosts.has_value());
  REQUIRE(hosts.value().size() == 1);
  CHECK(hosts.value().front().id == HostId("h1"));
  CHECK(hosts.value().front().zone == ZoneId("Bole"));
  CHECK_FALSE(hosts.value().front().leaving);
}
