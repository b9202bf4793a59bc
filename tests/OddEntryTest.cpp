#include "platform/BootSettings.h"
#include "platform/JsonFields.h"
#include "platform/ObjectDecoder.h"
#include "platform/StoreObjects.h"

#include <doctest/doctest.h>

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

std::string ListWith(const std::string& aOdd)
{
  return R"({"items":[)" + Entry("a", "{}") + "," + Entry("odd", aOdd) + "," +
         Entry("b", "{}") + R"(],"more":false,"store_revision":9})";
}

std::string EventsWith(const std::string& aOdd)
{
  const auto event = [](const std::string& aObject) {
    return R"({"removed":false,"object":)" + aObject + "}";
  };
  return R"({"events":[)" + event(Entry("a", "{}")) + "," +
         event(Entry("odd", aOdd)) + "," + event(Entry("b", "{}")) +
         R"(],"store_revision":9})";
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

// Guards against an odd entry of a list or of a watch that ends the process.
TEST_CASE("odd entry: the process outlives a list with a nested entry")
{
  const std::string odd = Nested(500000);
  (void)ReadList(ListWith(odd), StoreEra(1), {});
  (void)ReadEvents(EventsWith(odd), StoreEra(1), {});
}
