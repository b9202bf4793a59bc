#include "catalog/CatalogReplica.h"
#include "core/JsonDepth.h"
#include "core/JsonSplit.h"
#include "fleet/PeerCodec.h"
#include "platform/BootSettings.h"
#include "platform/JsonFields.h"
#include "platform/ObjectDecoder.h"
#include "platform/StoreObjects.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace lacewing;
using namespace lacewing::platform;

namespace {

/** An array in an array, aLevels deep. */
std::string Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

std::string Entry(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":4},"spec":)" +
         aSpec + "}";
}

std::string Server(const std::string& aSlots,
                   const std::string& aPort = "8080",
                   const std::string& aService = R"("s")")
{
  return R"({"service":)" + aService + R"(,"address":"10.0.0.9:)" + aPort +
         R"(","zone":"z","slots":)" + aSlots +
         R"(,"state":"ready","sequence":4,"born":5})";
}

/** Entries that another writer may leave among those of the servers. */
const std::string kOddSpecs[] = {
  Nested(40000),
  Nested(500000),
  Server("3", "8080", Nested(500000)),
  Server("1e999"),
  Server("-1e999"),
  "1e999",
  "tru",
  R"("text")",
  "\"\xff\xfe\"",
  "",
};

std::string ListWith(const std::string& aOdd)
{
  return R"({"items":[)" + Entry("a", Server("3")) + "," + Entry("odd", aOdd) +
         "," + Entry("b", Server("3")) +
         R"(],"more":false,"store_revision":9})";
}

std::string EventsWith(const std::string& aOdd)
{
  const auto event = [](const std::string& aObject) {
    return R"({"removed":false,"object":)" + aObject + "}";
  };
  return R"({"events":[)" + event(Entry("a", Server("3"))) + "," +
         event(Entry("odd", aOdd)) + "," + event(Entry("b", Server("3"))) +
         R"(],"store_revision":9})";
}

/** Whether the items name targets a and b, and no target for the odd entry. */
bool NamesOnlyGoodTargets(const std::vector<CatalogItem>& aItems)
{
  const ObjectDecoder decoder;
  std::string usable;
  for (const CatalogItem& item : aItems) {
    usable += decoder.DecodeTarget(item.name, item.body) ? item.name : "";
  }
  return usable == "ab";
}

} // namespace

// Guards against a process that ends because a value is nested so deeply that
// handling it recursively overflows the stack.
TEST_CASE("odd entry: deeply nested JSON is refused without recursion")
{
  const std::string deep = Nested(500000);
  CHECK(ParseJson(deep).is_discarded());
  CHECK(ParseJson("{\"a\":" + deep + "}").is_discarded());
  CHECK(ParseJson(std::string(8U << 20U, '[')).is_discarded());
  CHECK_FALSE(ParseJson(Nested(32)).is_discarded());
  const ObjectDecoder decoder;
  CHECK_FALSE(decoder.DecodeTarget("t", deep));
  CHECK_FALSE(decoder.DecodeConfiguration("{\"version\":" + deep + "}"));
  CHECK_FALSE(BootSettings::Parse("{\"node\":" + deep + "}"));
  CatalogItem host;
  host.body = R"({"zone":)" + deep + "}";
  CHECK_FALSE(ReadHostObject(host));
}

// Guards against an entry that makes hosts refuse the whole list, or the whole
// batch of changes, and so stop following the servers.
TEST_CASE("odd entry: the other entries of a list and of a watch hold")
{
  for (const std::string& odd : kOddSpecs) {
    CAPTURE(odd.substr(0, 40));
    const auto page = ReadList(ListWith(odd), StoreEra(1), {});
    REQUIRE(page);
    CHECK(page.value().changes.position.revision == Revision(9));
    CHECK_FALSE(page.value().more);
    const auto changes = ReadEvents(EventsWith(odd), StoreEra(1), {});
    REQUIRE(changes);
    CHECK(NamesOnlyGoodTargets(page.value().changes.items));
    CHECK(NamesOnlyGoodTargets(changes.value().items));
  }
}

// Guards against a list that removes all targets because its entries cannot be
// told apart.
TEST_CASE("odd entry: a list or a watch that cannot be split is refused")
{
  for (const char* items : { "[1 2]", "[{},,{}]", "[}]", "{}", "null", "7" }) {
    CAPTURE(items);
    CHECK_FALSE(ReadList(std::string("{\"items\":") + items +
                           ",\"more\":false,\"store_revision\":9}",
                         StoreEra(1),
                         {}));
    CHECK_FALSE(
      ReadEvents(std::string("{\"events\":") + items + ",\"store_revision\":9}",
                 StoreEra(1),
                 {}));
  }
  CHECK_FALSE(ReadList("{\"store_revision\":9}", StoreEra(1), {}));
}

// Guards against an odd entry that leaves the server's earlier entry in use.
TEST_CASE("odd entry: it replaces the earlier entry of its name")
{
  const auto changes = ReadEvents(EventsWith(Server("1e999")), StoreEra(1), {});
  REQUIRE(changes);
  REQUIRE(changes.value().items.size() == 3);
  CHECK(changes.value().items[2].name == "odd");
  CHECK_FALSE(
    ObjectDecoder().DecodeTarget("odd", changes.value().items[2].body));
}

// Guards against a count that is cut to 32 bits, such as 4294967296 slots that
// became none.
TEST_CASE("odd entry: counts and ports out of range name no target")
{
  const ObjectDecoder decoder;
  CHECK(decoder.DecodeTarget("t", Server("4294967295")));
  for (const char* slots : { "0",
                             "-1",
                             "4294967296",
                             "18446744073709551616",
                             "100000000000000000000000000000",
                             "3.5",
                             "1e3" }) {
    CAPTURE(slots);
    CHECK_FALSE(decoder.DecodeTarget("t", Server(slots)));
  }
  for (const char* port : { "0", "65536", "99999", "-1", "", "80x" }) {
    CAPTURE(port);
    CHECK_FALSE(decoder.DecodeTarget("t", Server("3", port)));
  }
  const auto table = decoder.DecodeConfiguration(
    R"({"version":1,"routes":[{"host":"h","path_prefix":"/","service":"s",
       "max_attempts":4294967296,"priority":4294967296}]})");
  REQUIRE(table);
  const RouteSpec* route = table.value()->Find("h", "/");
  CHECK(route->maxAttempts == 1);
  CHECK(route->priority == Priority(4294967295));
}

// Guards against parts that are cut at a bracket, a comma or a quote inside a
// string.
TEST_CASE("json split: parts are told apart by structure")
{
  const auto members =
    SplitJsonObject(R"( {"a" : [1,{"x":"]}"}] , "b":"q\"\\", "a":-2.5e3} )");
  REQUIRE(members);
  REQUIRE(members->size() == 3);
  CHECK((*members)[0].value == R"([1,{"x":"]}"}])");
  CHECK((*members)[1].value == R"("q\"\\")");
  CHECK(JsonMemberOf(*members, "a") == "-2.5e3");
  CHECK(JsonMemberOf(*members, "c").empty());
  CHECK(SplitJsonArray("[]")->empty());
  CHECK(SplitJsonArray(R"(["a,b", [], {}, null])")->size() == 4);
  for (const char* text : { "",
                            "{",
                            "[1,]",
                            "[1",
                            "[1]]",
                            "{\"a\"}",
                            "{\"a\":}",
                            "{\"a\":1,}",
                            "[\"a]",
                            "[\"a\\",
                            "]",
                            "1" }) {
    CAPTURE(text);
    CHECK_FALSE(SplitJsonArray(text));
    CHECK_FALSE(SplitJsonObject(text));
  }
  CHECK(JsonDepth(R"([{"a":"[[["},[[]]])") == 3);
}

// Guards against metadata that hide a change or a removal of their object.
TEST_CASE("odd entry: odd metadata do not hide the object's name")
{
  for (const std::string& odd :
       { Nested(500000), std::string("1e999"), std::string("\"\xff\"") }) {
    CAPTURE(odd.substr(0, 40));
    const auto changes = ReadEvents(
      R"({"events":[{"removed":true,"object":{"metadata":{"finalizers":)" +
        odd + R"(,"name":"a","revision":4}}}],"store_revision":9})",
      StoreEra(1),
      {});
    REQUIRE(changes);
    REQUIRE(changes.value().items.size() == 1);
    CHECK(changes.value().items[0].name == "a");
    CHECK(changes.value().items[0].removed);
  }
}

// Guards against names that break a request's head, or make the heartbeats that
// carry them too large for a datagram.
TEST_CASE("odd entry: a name that no header can carry names no target")
{
  const ObjectDecoder decoder;
  CHECK(decoder.DecodeTarget(std::string(256, 'i'), Server("3")));
  for (const std::string& name : { std::string(),
                                   std::string(257, 'i'),
                                   std::string(60000, 'i'),
                                   std::string("a\r\nX: y"),
                                   std::string("a b"),
                                   std::string("a\0b", 3),
                                   std::string("\xff"),
                                   std::string("\x7f") }) {
    CAPTURE(name.substr(0, 40));
    CHECK_FALSE(decoder.DecodeTarget(name, Server("3")));
  }
}

// Guards against a catalog that outgrows what peers accept, so that hosts
// cannot get it from each other.
TEST_CASE("odd entry: large entries do not keep peers from the others")
{
  CatalogReplica replica;
  CatalogChanges list;
  list.position = { StoreEra(1), Revision(9) };
  list.full = true;
  for (int i = 0; i < 6000; ++i) {
    CatalogItem item;
    item.name = "i-" + std::to_string(i);
    item.position = list.position;
    item.body = i % 300 == 0 ? std::string(900000, 'x') : Server("3");
    list.items.push_back(std::move(item));
  }
  replica.Apply(CatalogKind::kTarget, list);
  CatalogPullResponse pull;
  pull.parts.push_back(replica.Since(CatalogKind::kTarget, {}));
  const auto received = DecodePullResponse(EncodePullResponse(pull));
  REQUIRE(received);
  const auto& items = received.value().parts[0].items;
  CHECK(items.size() == 6000);
  CHECK(std::count_if(items.begin(), items.end(), [](const auto& aItem) {
          return ObjectDecoder().DecodeTarget(aItem.name, aItem.body);
        }) == 5980);
}

// Guards against hosts' objects that lead datagrams to a cut port.
TEST_CASE("odd entry: a host's object without a valid address names no host")
{
  const auto host = [](const std::string& aAddress, const std::string& aPort) {
    CatalogItem item;
    item.name = "h";
    item.body =
      R"({"zone":"z","address":")" + aAddress + R"(","port":)" + aPort + "}";
    return ReadHostObject(item);
  };
  CHECK(host("10.0.0.9", "7720"));
  for (const char* port :
       { "0", "70000", "-1", "4294967297", "7720.5", "{}" }) {
    CAPTURE(port);
    CHECK_FALSE(host("10.0.0.9", port));
  }
  for (const char* address : { "", "nowhere", "10.0.0.999", "10.0.0.9:1" }) {
    CAPTURE(address);
    CHECK_FALSE(host(address, "7720"));
  }
}
