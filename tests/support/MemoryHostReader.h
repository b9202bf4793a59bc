#ifndef TESTS_SUPPORT_MEMORYHOSTREADER_H
#define TESTS_SUPPORT_MEMORYHOSTREADER_H

#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "ctl/HostReader.h"
#include "support/MemoryObjectStore.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace lacewing {

/** Hosts that have the store's version in force at once, with exceptions. */
class MemoryHostReader final : public HostReader
{
public:
  MemoryHostReader(asio::io_context& aContext, const MemoryObjectStore& aStore)
    : context_(aContext)
    , store_(aStore)
  {
  }

  /** Answers for "ADDRESS:PORT" other than the store's version. */
  std::map<std::string, Outcome<nlohmann::json>> exceptions;

  void Dump(const Endpoint& aAdmin,
            std::chrono::milliseconds,
            DumpHandler aHandler) override
  {
    const auto exception = exceptions.find(aAdmin.ToString());
    Outcome<nlohmann::json> result =
      nlohmann::json{ { "config_version", StoreVersion() } };
    if (exception != exceptions.end()) {
      result = exception->second;
    }
    asio::post(context_,
               [handler = std::move(aHandler), result] { handler(result); });
  }

private:
  std::uint64_t StoreVersion() const
  {
    const auto head = store_.objects.find(HeadKey());
    return head == store_.objects.end()
             ? 0
             : DecodeHead(head->second.body).value().version.value();
  }

  asio::io_context& context_;
  const MemoryObjectStore& store_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_MEMORYHOSTREADER_H
