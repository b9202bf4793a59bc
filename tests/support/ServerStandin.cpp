#include "support/ServerStandin.h"

#include "core/StableHash.h"
#include "http/AsyncRead.h"
#include "http/MessageBytes.h"
#include "http/MessageParser.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace lacewing {

namespace {

constexpr const char* kIdField = "Lacewinghoist-Request-Id";
constexpr const char* kHealthPath = "/health";
// An occasional fault affects one in this many responses.
constexpr unsigned kFaultInterval = 3;
// Time between a response and its duplicate.
constexpr Duration kDuplicateDelay = std::chrono::milliseconds(20);

std::string FieldOf(const HttpMessage& aMessage, const char* aName)
{
  const std::string* value = aMessage.head.fields.Find(aName);
  return value == nullptr ? std::string() : *value;
}

std::string BytesOf(const HttpMessage& aResponse)
{
  return AnswerHeadBytes(aResponse.head, aResponse.body.size()) +
         aResponse.body;
}

} // namespace

/** One connection, on which requests arrive one at a time. */
class ServerStandin::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(ServerStandin& aServer, asio::ip::tcp::socket aSocket)
    : server_(&aServer)
    , socket_(std::move(aSocket))
    , parser_(MessageSide::kRequest, ParserLimits())
  {
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void Read()
  {
    AsyncRead(socket_,
              [self = shared_from_this()](const asio::error_code& aError,
                                          std::string_view aBytes) {
                self->OnRead(aError, aBytes);
              });
  }

  void Write(std::string aBytes, bool aThenClose)
  {
    const auto bytes = std::make_shared<const std::string>(std::move(aBytes));
    asio::async_write(socket_,
                      asio::buffer(*bytes),
                      [self = shared_from_this(), bytes, aThenClose](
                        const asio::error_code& aError, std::size_t) {
                        if (aError || aThenClose) {
                          self->Close();
                        }
                      });
  }

  void WriteAfterDelay(std::string aBytes)
  {
    const auto timer =
      std::make_shared<asio::steady_timer>(socket_.get_executor());
    timer->expires_after(kDuplicateDelay);
    timer->async_wait(
      [self = shared_from_this(), timer, bytes = std::move(aBytes)](
        const asio::error_code&) mutable {
        if (self->Open()) {
          self->Write(std::move(bytes), false);
        }
      });
  }

  void Close()
  {
    asio::error_code ignored;
    socket_.close(ignored);
    if (ServerStandin* server = std::exchange(server_, nullptr)) {
      server->sessions_.erase(shared_from_this());
    }
  }

  /** Called when the server is destroyed: closes without notifying it. */
  void Detach()
  {
    server_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
  }

  bool Open() const { return server_ != nullptr; }

private:
  void OnRead(const asio::error_code& aError, std::string_view aBytes)
  {
    if (aError) {
      Close();
      return;
    }
    while (!aBytes.empty() && Open() &&
           parser_.Failure() == ParseFailure::kNone) {
      aBytes.remove_prefix(parser_.Feed(aBytes));
      if (parser_.Whole()) {
        server_->Serve(shared_from_this(), parser_.Take());
      }
    }
    if (parser_.Failure() != ParseFailure::kNone) {
      Close();
    }
    if (Open()) {
      Read();
    }
  }

  ServerStandin* server_;
  asio::ip::tcp::socket socket_;
  MessageParser parser_;
};

ServerStandin::ServerStandin(asio::io_context& aContext,
                             const Clock& aClock,
                             const ServerSpec& aSpec,
                             RunHandler aOnRun,
                             ArrivalHandler aOnArrival)
  : context_(aContext)
  , clock_(aClock)
  , spec_(aSpec)
  , startedAt_(aClock.Now())
  , onRun_(std::move(aOnRun))
  , onArrival_(std::move(aOnArrival))
  , acceptor_(
      aContext,
      { asio::ip::make_address(aSpec.listen.address), aSpec.listen.port })
{
  Accept();
}

ServerStandin::~ServerStandin()
{
  for (const auto& session : std::exchange(sessions_, {})) {
    session->Detach();
  }
}

bool ServerStandin::Cold() const
{
  return clock_.Now() - startedAt_ < spec_.coldTime;
}

void ServerStandin::Accept()
{
  acceptor_.async_accept(
    [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto session = std::make_shared<Session>(*this, std::move(aSocket));
      sessions_.insert(session);
      session->Read();
      Accept();
    });
}

void ServerStandin::Serve(const std::shared_ptr<Session>& aSession,
                          HttpMessage aRequest)
{
  if (aRequest.head.method == "GET" && aRequest.head.target == kHealthPath) {
    ServeHealth(aSession, aRequest);
    return;
  }
  const std::string expected =
    FieldOf(aRequest, "Lacewinghoist-Expected-Instance");
  if (!expected.empty() && expected != spec_.id.value()) {
    aSession->Write(BytesOf(MakeNotRunResponse(421, aRequest)), false);
    return;
  }
  onArrival_(spec_, aRequest, Cold());
  if (faults_.shedAll) {
    aSession->Write(BytesOf(MakeNotRunResponse(503, aRequest)), false);
  } else if (running_ < spec_.slots) {
    Run(aSession, std::move(aRequest));
  } else if (waiting_.size() < spec_.queueCapacity) {
    waiting_.push_back({ aSession, std::move(aRequest) });
  } else {
    aSession->Write(BytesOf(MakeNotRunResponse(503, aRequest)), false);
  }
}

void ServerStandin::ServeHealth(const std::shared_ptr<Session>& aSession,
                                const HttpMessage& aRequest)
{
  const bool full = !spec_.reportsLoad && running_ >= spec_.slots;
  HttpMessage health =
    full ? MakeNotRunResponse(503, aRequest) : MakeResponse(200, aRequest);
  health.head.fields.Add("Lacewinghoist-Instance-Id", spec_.id.value());
  aSession->Write(BytesOf(health), false);
}

void ServerStandin::StartNext()
{
  while (!waiting_.empty() && running_ < spec_.slots) {
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    // A request whose connection has closed is dropped without running it.
    if (next.session->Open()) {
      Run(next.session, std::move(next.request));
    }
  }
}

void ServerStandin::Run(const std::shared_ptr<Session>& aSession,
                        HttpMessage aRequest)
{
  ++running_;
  onRun_(spec_, aRequest);
  const auto timer = std::make_shared<asio::steady_timer>(context_);
  timer->expires_after(
    std::chrono::duration_cast<Duration>(spec_.workTime * faults_.slowFactor));
  timer->async_wait([this,
                     timer,
                     aSession,
                     alive = std::weak_ptr<char>(alive_),
                     request = std::move(aRequest)](const asio::error_code&) {
    if (alive.expired()) {
      return;
    }
    --running_;
    if (aSession->Open()) {
      Finish(aSession, request);
    }
    StartNext();
  });
}

void ServerStandin::Finish(const std::shared_ptr<Session>& aSession,
                           const HttpMessage& aRequest)
{
  HttpMessage response = MakeResponse(faults_.failAll ? 500 : 200, aRequest);
  response.head.fields.Add("Lacewinghoist-Server-Signature", spec_.id.value());
  response.body = ResponseBody(aRequest);
  const std::string bytes = BytesOf(response);
  const bool faulty = ++responseCount_ % kFaultInterval == 0;
  if (faulty && faults_.loseResponses) {
    aSession->Close();
  } else if (faulty && faults_.truncateResponses) {
    aSession->Write(bytes.substr(0, bytes.size() - response.body.size() / 2),
                    true);
  } else if (!faults_.neverRespond) {
    aSession->Write(bytes, false);
    if (faulty && faults_.duplicateResponses) {
      aSession->WriteAfterDelay(bytes);
    }
  }
}

HttpMessage ServerStandin::MakeResponse(unsigned aStatus,
                                        const HttpMessage& aRequest) const
{
  HttpMessage response;
  response.head.status = aStatus;
  if (const std::string id = FieldOf(aRequest, kIdField); !id.empty()) {
    response.head.fields.Add(kIdField, id);
  }
  if (spec_.reportsLoad) {
    response.head.fields.Add("Lacewinghoist-Server-Load", LoadText());
  }
  if (Cold()) {
    const auto left = spec_.coldTime - (clock_.Now() - startedAt_);
    response.head.fields.Add(
      "Lacewinghoist-Warmup-Ms",
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  }
  return response;
}

std::string ServerStandin::LoadText() const
{
  const bool idle = faults_.shedAll;
  const auto slowdown = static_cast<unsigned>(100 * faults_.slowFactor);
  return std::to_string(idle ? 0 : running_) + "," +
         std::to_string(idle ? 0 : waiting_.size()) + "," +
         std::to_string(spec_.slots) + "," + std::to_string(slowdown);
}

HttpMessage ServerStandin::MakeNotRunResponse(unsigned aStatus,
                                              const HttpMessage& aRequest) const
{
  HttpMessage response = MakeResponse(aStatus, aRequest);
  response.head.fields.Add("Lacewinghoist-Not-Executed", "1");
  return response;
}

std::string ServerStandin::ResponseBody(const HttpMessage& aRequest)
{
  return FieldOf(aRequest, kIdField) + " " + aRequest.head.method + " " +
         aRequest.head.target + " " +
         std::to_string(StableHash64(aRequest.body, 0));
}

} // namespace lacewing
