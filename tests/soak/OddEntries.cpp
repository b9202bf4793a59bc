#include "soak/OddEntries.h"

#include <array>

namespace lacewing {

namespace {

constexpr std::size_t kDeepNesting = 100000;
// Nothing listens there.
constexpr const char* kAddress = R"("127.77.0.1:9")";

/** An entry that would be in order with other members. */
std::string EntryWith(const std::string& aAddress,
                      const std::string& aSlots,
                      const std::string& aState)
{
  return R"({"service":"alpha","zone":"zone0","born":1,"sequence":1,"address":)" +
         aAddress + R"(,"slots":)" + aSlots + R"(,"state":)" + aState + '}';
}

std::string DeepArray()
{
  return std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
}

using TextMaker = std::string (*)();

constexpr std::array<TextMaker, 12> kTexts{ {
  [] { return DeepArray(); },
  [] { return EntryWith(kAddress, "6", DeepArray()); },
  [] { return EntryWith(kAddress, "1e999", R"("ready")"); },
  [] { return EntryWith(kAddress, "4294967296", R"("ready")"); },
  [] { return EntryWith(kAddress, "-1", R"("ready")"); },
  [] { return EntryWith(R"("127.77.0.1:99999")", "6", R"("ready")"); },
  [] { return EntryWith(R"("127.77.0.1")", "6", R"("ready")"); },
  [] { return EntryWith(kAddress, "6", "\"\xff\xfe\xc0\""); },
  [] { return EntryWith(kAddress, "6", R"("resting")"); },
  [] { return EntryWith("17", "[]", "{}"); },
  [] { return std::string("{}"); },
  [] { return std::string("null"); },
} };

} // namespace

std::string MakeOddEntry(std::mt19937_64& aRandom)
{
  return kTexts[aRandom() % kTexts.size()]();
}

} // namespace lacewing
