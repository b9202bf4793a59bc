#include "net/HttpServer.h"

#include "core/OneShotTimer.h"
#include "net/MeteredSocketPriv.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

class Responder;

/**
 * Finds the unanswered requests of a connection when it closes, and counts
 * connections.
 */
class ConnectionListener
{
public:
  /** aBudget may be null. */
  ConnectionListener(asio::io_context& aContext,
                     std::shared_ptr<ReadBudget> aBudget,
                     std::string aRefusal,
                     std::string aMalformed)
    : context_(aContext)
    , budget_(std::move(aBudget))
    , refusal_(std::move(aRefusal))
    , malformed_(std::move(aMalformed))
  {
  }

  asio::io_context& Context() { return context_; }

  void Register(restinio::connection_id_t aConnection,
                const std::shared_ptr<Responder>& aResponder)
  {
    pending_.emplace(aConnection, aResponder);
    if (const std::shared_ptr<ReadMeter> meter = MeterOf(aConnection)) {
      meter->OnRequest();
    }
  }

  /** Null without a budget. */
  std::shared_ptr<ReadMeter> MeterOf(restinio::connection_id_t aConnection)
  {
    const auto found = meters_.find(aConnection);
    return found == meters_.end() ? nullptr : found->second.lock();
  }

  void Unregister(restinio::connection_id_t aConnection,
                  const Responder* aResponder);

  /** True once for each connection. */
  bool TakeFirst(restinio::connection_id_t aConnection)
  {
    return unused_.erase(aConnection) > 0;
  }

  /** RESTinio reports no close for a connection whose socket was taken. */
  void Dropped(restinio::connection_id_t aConnection)
  {
    open_.erase(aConnection);
    meters_.erase(aConnection);
  }

  /** Connections with a request that is not whole yet. */
  std::size_t InRequest() const
  {
    return static_cast<std::size_t>(
      std::count_if(meters_.begin(), meters_.end(), [](const auto& aEntry) {
        const auto meter = aEntry.second.lock();
        return meter && meter->InRequest();
      }));
  }

  std::size_t Open() const { return open_.size(); }
  std::uint64_t Accepted() const { return accepted_; }

  // The name is fixed by RESTinio.
  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept;

private:
  std::unordered_multimap<restinio::connection_id_t, std::weak_ptr<Responder>>
    pending_;
  /** Connections without a request so far. */
  std::unordered_set<restinio::connection_id_t> unused_;
  std::unordered_set<restinio::connection_id_t> open_;
  std::uint64_t accepted_ = 0;
  asio::io_context& context_;
  std::shared_ptr<ReadBudget> budget_;
  std::string refusal_;
  std::string malformed_;
  std::unordered_map<restinio::connection_id_t, std::weak_ptr<ReadMeter>>
    meters_;
};

struct Traits : public restinio::default_single_thread_traits_t
{
  using stream_socket_t = MeteredSocket;
  using request_handler_t = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;
  using connection_state_listener_t = ConnectionListener;
  // The name is fixed by RESTinio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using Connection = restinio::impl::connection_t<Traits>;

/** A whole answer as bytes, for use outside of RESTinio. */
std::string WireFormat(const HttpResponse& aResponse, const char* aConnection)
{
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.status) + " -\r\n";
  for (const HttpField& field : aResponse.fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += std::string("Connection: ") + aConnection +
          "\r\nContent-Length: " + std::to_string(aResponse.body.size()) +
          "\r\n\r\n";
  return text + aResponse.body;
}

class Responder final : public HttpResponder
{
public:
  Responder(restinio::request_handle_t aRequest,
            std::shared_ptr<ConnectionListener> aListener)
    : request_(std::move(aRequest))
    , listener_(std::move(aListener))
  {
  }

  ~Responder() override
  {
    if (request_) {
      HttpResponse response;
      response.status = 500;
      Respond(std::move(response), nullptr);
    }
  }

  using HttpResponder::Send;

  void Send(HttpResponse aResponse, std::shared_ptr<const void> aKept) override
  {
    if (request_) {
      Respond(std::move(aResponse), std::move(aKept));
    }
  }

  void Drop() override
  {
    if (request_) {
      asio::error_code ignored;
      TakeSocket().close(ignored);
    }
  }

  void SendTwice(const HttpResponse& aResponse,
                 std::chrono::milliseconds aPause) override
  {
    if (request_) {
      const auto answer = std::make_shared<const std::string>(
        WireFormat(aResponse, "keep-alive"));
      const auto socket = std::make_shared<MeteredSocket>(TakeSocket());
      asio::async_write(
        *socket,
        asio::buffer(*answer),
        [socket, answer, aPause, &context = listener_->Context()](
          const asio::error_code&, std::size_t) {
          OneShotTimer::RunAfter(context, aPause, [socket, answer] {
            asio::async_write(
              *socket,
              asio::buffer(*answer),
              [socket, answer](const asio::error_code&, std::size_t) {});
          });
        });
    }
  }

  void OnGone(std::function<void()> aHandler) override
  {
    gone_ = std::move(aHandler);
  }

  void ConnectionClosed()
  {
    request_.reset();
    if (gone_) {
      const std::function<void()> handler = std::move(gone_);
      gone_ = nullptr;
      handler();
    }
  }

private:
  /** The connection's socket, of which RESTinio then knows nothing. */
  MeteredSocket TakeSocket()
  {
    const restinio::request_handle_t request = Take();
    listener_->Dropped(request->connection_id());
    auto& connection = static_cast<Connection&>(
      *restinio::impl::access_req_connection(*request));
    return std::move(connection.move_upgrade_internals().m_socket);
  }

  restinio::request_handle_t Take()
  {
    listener_->Unregister(request_->connection_id(), this);
    gone_ = nullptr;
    return std::exchange(request_, nullptr);
  }

  void Respond(HttpResponse aResponse, std::shared_ptr<const void> aKept)
  {
    const restinio::request_handle_t request = Take();
    auto meter = listener_->MeterOf(request->connection_id());
    if (request->header().method() == restinio::http_method_head()) {
      RespondToHead(
        *request, std::move(aResponse), std::move(aKept), std::move(meter));
      return;
    }
    auto response = request->create_response(StatusLine(aResponse.status));
    Finish(*request,
           std::move(aResponse),
           std::move(aKept),
           std::move(meter),
           response);
  }

  // The length of the body that a GET would bring has to stay visible.
  static void RespondToHead(restinio::request_t& aRequest,
                            HttpResponse aResponse,
                            std::shared_ptr<const void> aKept,
                            std::shared_ptr<ReadMeter> aMeter)
  {
    auto response =
      aRequest.create_response<restinio::user_controlled_output_t>(
        StatusLine(aResponse.status));
    std::size_t length = aResponse.body.size();
    if (const std::string* given = aResponse.fields.Find("Content-Length")) {
      length = std::strtoull(given->c_str(), nullptr, 10);
    }
    response.set_content_length(length);
    aResponse.body.clear();
    Finish(aRequest,
           std::move(aResponse),
           std::move(aKept),
           std::move(aMeter),
           response);
  }

  static restinio::http_status_line_t StatusLine(int aStatus)
  {
    return restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus)), "-");
  }

  template<class Builder>
  static void Finish(restinio::request_t& aRequest,
                     HttpResponse aResponse,
                     std::shared_ptr<const void> aKept,
                     std::shared_ptr<ReadMeter> aMeter,
                     Builder& aBuilder)
  {
    // RESTinio reads nothing more after a request to upgrade.
    bool keepAlive = aRequest.header().should_keep_alive() &&
                     aRequest.header().connection() !=
                       restinio::http_connection_header_t::upgrade;
    for (const HttpField& field : aResponse.fields) {
      if (SameFieldName(field.name, "Connection")) {
        keepAlive = keepAlive && !SameFieldName(field.value, "close");
      } else if (!SameFieldName(field.name, "Content-Length")) {
        aBuilder.append_header(field.name, field.value);
      }
    }
    if (keepAlive) {
      aBuilder.connection_keep_alive();
    } else {
      aBuilder.connection_close();
    }
    if (!aResponse.body.empty()) {
      aBuilder.set_body(std::move(aResponse.body));
    }
    if (aKept || aMeter) {
      aBuilder.done(
        [kept = std::move(aKept), meter = std::move(aMeter)](const auto&) {
          if (meter) {
            meter->OnWritten();
          }
        });
    } else {
      aBuilder.done();
    }
  }

  restinio::request_handle_t request_;
  std::shared_ptr<ConnectionListener> listener_;
  std::function<void()> gone_;
};

void ConnectionListener::Unregister(restinio::connection_id_t aConnection,
                                    const Responder* aResponder)
{
  const auto [first, last] = pending_.equal_range(aConnection);
  for (auto entry = first; entry != last; ++entry) {
    const std::shared_ptr<Responder> responder = entry->second.lock();
    // The entry of a responder that is being destroyed has expired.
    if (!responder || responder.get() == aResponder) {
      pending_.erase(entry);
      return;
    }
  }
}

void ConnectionListener::state_changed(
  const restinio::connection_state::notice_t& aNotice) noexcept
{
  if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
        aNotice.cause())) {
    unused_.insert(aNotice.connection_id());
    open_.insert(aNotice.connection_id());
    ++accepted_;
    if (budget_) {
      auto meter = std::make_shared<ReadMeter>(budget_, refusal_, malformed_);
      meters_.emplace(aNotice.connection_id(), meter);
      asio::use_service<AcceptedMeter>(context_).meter = std::move(meter);
    }
    return;
  }
  if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
        aNotice.cause())) {
    return;
  }
  unused_.erase(aNotice.connection_id());
  open_.erase(aNotice.connection_id());
  meters_.erase(aNotice.connection_id());
  std::vector<std::shared_ptr<Responder>> gone;
  const auto [first, last] = pending_.equal_range(aNotice.connection_id());
  for (auto entry = first; entry != last; ++entry) {
    if (std::shared_ptr<Responder> responder = entry->second.lock()) {
      gone.push_back(std::move(responder));
    }
  }
  pending_.erase(first, last);
  for (const std::shared_ptr<Responder>& responder : gone) {
    responder->ConnectionClosed();
  }
}

HttpRequest ToRequest(const restinio::request_t& aRequest)
{
  HttpRequest request;
  request.method = aRequest.header().method().c_str();
  request.target = aRequest.header().request_target();
  request.fields.Reserve(aRequest.header().fields_count());
  aRequest.header().for_each_field([&request](const auto& aField) {
    request.fields.Add(aField.name(), aField.value());
  });
  request.body = aRequest.body();
  return request;
}

} // namespace

struct HttpServer::Impl
{
  using Settings = restinio::server_settings_t<Traits>;

  Impl(asio::io_context& aContext,
       std::shared_ptr<ConnectionListener> aListener,
       Settings aSettings)
    : listener(std::move(aListener))
    , server(restinio::external_io_context(aContext), std::move(aSettings))
  {
  }

  std::shared_ptr<ConnectionListener> listener;
  restinio::http_server_t<Traits> server;
  std::uint16_t port = 0;
};

namespace {

restinio::incoming_http_msg_limits_t MessageLimits(
  const HttpServerOptions& aOptions)
{
  return restinio::incoming_http_msg_limits_t()
    .max_url_size(aOptions.maxTarget.value())
    .max_field_name_size(aOptions.maxFieldName.value())
    .max_field_value_size(aOptions.maxFieldValue.value())
    .max_field_count(aOptions.maxFields)
    .max_body_size(aOptions.maxBody.value());
}

/**
 * Keeps servers until the last handler of their io_context is destroyed. A
 * connection that is still open then reports its end to RESTinio's acceptor,
 * which would be gone if it ended with the server.
 */
class ServerKeeper final : public asio::execution_context::service
{
public:
  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static asio::execution_context::id id;

  explicit ServerKeeper(asio::execution_context& aContext)
    : service(aContext)
  {
  }

  void Keep(std::shared_ptr<void> aServer)
  {
    servers_.push_back(std::move(aServer));
  }

private:
  // The name is fixed by Asio.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override {}

  std::vector<std::shared_ptr<void>> servers_;
};

asio::execution_context::id ServerKeeper::id;

constexpr std::size_t kReadBuffer = 16U << 10U;
// A second request is read while the first runs, so that the close of a
// caller's connection is noticed.
constexpr std::size_t kPipelinedRequests = 2;

} // namespace

Outcome<std::unique_ptr<HttpServer>> HttpServer::Make(
  asio::io_context& aContext,
  const HttpServerOptions& aOptions,
  HttpHandler aHandler)
{
  auto listener = std::make_shared<ConnectionListener>(
    aContext,
    aOptions.readBudget,
    WireFormat(aOptions.refusal, "close"),
    WireFormat(aOptions.malformed, "close"));
  auto port = std::make_shared<std::uint16_t>(0);
  Impl::Settings settings;
  settings.address(aOptions.endpoint.address)
    .port(aOptions.endpoint.port)
    .protocol(restinio::asio_ns::ip::tcp::v4())
    .buffer_size(kReadBuffer)
    .max_pipelined_requests(kPipelinedRequests)
    .read_next_http_message_timelimit(aOptions.readTimeout)
    .write_http_response_timelimit(aOptions.writeTimeout)
    .handle_request_timeout(aOptions.handleTimeout)
    .incoming_http_msg_limits(MessageLimits(aOptions))
    .max_parallel_connections(aOptions.maxConnections)
    .connection_state_listener(listener)
    .acceptor_post_bind_hook([port](const asio::ip::tcp::acceptor& aAcceptor) {
      *port = aAcceptor.local_endpoint().port();
    })
    .acceptor_options_setter([reuse = aOptions.reusePort](auto& aAcceptor) {
      aAcceptor.set_option(asio::socket_base::reuse_address(true));
      if (reuse) {
        using ReusePort =
          asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        aAcceptor.set_option(ReusePort(true));
      }
    })
    .socket_options_setter(
      [](auto& aSocket) { aSocket.set_option(asio::ip::tcp::no_delay(true)); })
    .request_handler([listener, handler = std::move(aHandler)](
                       const restinio::request_handle_t& aRequest) {
      auto responder = std::make_shared<Responder>(aRequest, listener);
      listener->Register(aRequest->connection_id(), responder);
      HttpRequest request = ToRequest(*aRequest);
      request.firstOnConnection =
        listener->TakeFirst(aRequest->connection_id());
      handler(std::move(request), std::move(responder));
      return restinio::request_accepted();
    });
  try {
    auto impl = std::make_shared<Impl>(aContext, listener, std::move(settings));
    impl->server.open_sync();
    asio::use_service<ServerKeeper>(aContext).Keep(impl);
    impl->port = *port;
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + aOptions.endpoint.ToString() + ": " +
                  error.what(),
                "choose an address of this host and a free port");
  }
}

HttpServer::HttpServer(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

HttpServer::~HttpServer()
{
  Close();
}

std::uint16_t HttpServer::Port() const
{
  return impl_->port;
}

void HttpServer::Close()
{
  impl_->server.close_sync();
}

std::size_t HttpServer::OpenConnections() const
{
  return impl_->listener->Open();
}

std::size_t HttpServer::UnfinishedRequests() const
{
  return impl_->listener->InRequest();
}

std::uint64_t HttpServer::AcceptedConnections() const
{
  return impl_->listener->Accepted();
}

} // namespace lacewing
