#ifndef TESTS_SUPPORT_SERVERSTANDIN_H
#define TESTS_SUPPORT_SERVERSTANDIN_H

#include "http/HttpMessage.h"
#include "support/ServerFaults.h"
#include "support/ServerSpec.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

namespace lacewing {

/**
 * Stand-in for a server of the platform that follows its published protocol:
 * slots and a queue, headers for load and warm-up, the request's id in each
 * response, status 421 for requests meant for another instance. Destroying it
 * simulates a crash of the server.
 */
class ServerStandin
{
public:
  /** Called when a request starts to run. */
  using RunHandler =
    std::function<void(const ServerSpec& aServer, const HttpMessage& aRequest)>;
  /** Called when a request arrives that is not meant for another instance. */
  using ArrivalHandler = std::function<
    void(const ServerSpec& aServer, const HttpMessage& aRequest, bool aCold)>;

  ServerStandin(asio::io_context& aContext,
                const Clock& aClock,
                const ServerSpec& aSpec,
                RunHandler aOnRun,
                ArrivalHandler aOnArrival);
  ~ServerStandin();
  ServerStandin(const ServerStandin&) = delete;
  ServerStandin& operator=(const ServerStandin&) = delete;

  const ServerSpec& Spec() const { return spec_; }
  /** Whether the server is still within its cold time. */
  bool Cold() const;

  void SetFaults(const ServerFaults& aFaults) { faults_ = aFaults; }
  const ServerFaults& Faults() const { return faults_; }

  /** The body of the response to aRequest. */
  static std::string ResponseBody(const HttpMessage& aRequest);

private:
  class Session;

  void Accept();
  void Serve(const std::shared_ptr<Session>& aSession, HttpMessage aRequest);
  void ServeHealth(const std::shared_ptr<Session>& aSession,
                   const HttpMessage& aRequest);
  void StartNext();
  void Run(const std::shared_ptr<Session>& aSession, HttpMessage aRequest);
  void Finish(const std::shared_ptr<Session>& aSession,
              const HttpMessage& aRequest);
  /** A response with the request's id, the load and the cold time left. */
  HttpMessage MakeResponse(unsigned aStatus, const HttpMessage& aRequest) const;
  std::string LoadText() const;
  /** Such a response that also states that the request was not run. */
  HttpMessage MakeNotRunResponse(unsigned aStatus,
                                 const HttpMessage& aRequest) const;

  /** A request that waits for a slot. */
  struct Waiting
  {
    std::shared_ptr<Session> session;
    HttpMessage request;
  };

  asio::io_context& context_;
  const Clock& clock_;
  const ServerSpec spec_;
  const TimePoint startedAt_;
  RunHandler onRun_;
  ArrivalHandler onArrival_;
  ServerFaults faults_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::list<Waiting> waiting_;
  std::size_t running_ = 0;
  unsigned responseCount_ = 0;
  /**
   * Destroyed with this object, so that timers that expire later can detect
   * that it is gone.
   */
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SERVERSTANDIN_H
