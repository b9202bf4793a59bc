#ifndef TESTS_SUPPORT_STORESTANDIN_H
#define TESTS_SUPPORT_STORESTANDIN_H

#include "http/SmallHttpServer.h"
#include "lacewing/Endpoint.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/** How the stand-in treats calls. */
enum class StoreFault
{
  kNone,
  /** 503, nothing done. */
  kBusy,
  /** No answer, now or later. */
  kUnresponsive,
};

/**
 * Stand-in for the platform's metadata store, by its published protocol:
 * lists, watches, creation, revisions, history that may be forgotten. Lives on
 * one io_context; the test changes objects as the operator and servers do.
 */
class StoreStandin
{
public:
  StoreStandin(asio::io_context& aContext, const Endpoint& aEndpoint);

  Endpoint Address() const { return { address_, server_->Port() }; }

  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

  void SetFault(StoreFault aFault) { fault_ = aFault; }

  /** Drops the history, so that older watches get 410, and cuts watches. */
  void ForgetHistory();

  /** Calls that arrived, refused ones included. */
  std::uint64_t Calls() const { return calls_; }
  /** Those of them that may be answered from an older state. */
  std::uint64_t SerializableCalls() const { return serializableCalls_; }

  bool Has(const std::string& aKind, const std::string& aName) const;

private:
  struct Object
  {
    std::uint64_t revision = 0;
    nlohmann::json spec;
  };
  struct Event
  {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    nlohmann::json spec;
  };
  struct PendingWatch
  {
    std::string kind;
    std::uint64_t since = 0;
    SmallHttpServer::Responder respond;
    std::unique_ptr<asio::steady_timer> timer;
  };

  void Serve(const HttpMessage& aRequest, SmallHttpServer::Responder aRespond);
  void Create(const std::string& aKind,
              const HttpMessage& aRequest,
              const SmallHttpServer::Responder& aRespond);
  void List(const std::string& aKind,
            const SmallHttpServer::Responder& aRespond);
  void Watch(const std::string& aKind,
             std::uint64_t aSince,
             std::chrono::milliseconds aWait,
             SmallHttpServer::Responder aRespond);
  void RespondToWatches();
  nlohmann::json EventsSince(const std::string& aKind,
                             std::uint64_t aSince) const;

  asio::io_context& context_;
  const std::string address_;
  std::unique_ptr<SmallHttpServer> server_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> history_;
  std::list<PendingWatch> pendingWatches_;
  /** Responders that never answer. */
  std::vector<SmallHttpServer::Responder> unansweredResponders_;
  std::uint64_t revision_ = 100;
  std::uint64_t historyStart_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t serializableCalls_ = 0;
  StoreFault fault_ = StoreFault::kNone;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_STORESTANDIN_H
