#include "standin/Platform.h"

#include "core/JsonProperties.h"
#include "net/HttpServer.h"
#include "standin/Answers.h"
#include "standin/CallCounts.h"
#include "standin/HostTable.h"
#include "standin/ObjectTable.h"
#include "standin/RateLimit.h"
#include "standin/RequestTarget.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <string_view>
#include <utility>

namespace lacewing {

namespace {

constexpr std::size_t kMaxObjectBytes = 1U << 20U;
// Below the server's limit on the time for an answer.
constexpr std::chrono::milliseconds kMaxWatchWait{ 100000 };
constexpr std::string_view kObjectsPrefix = "/objects/";
constexpr std::string_view kHostsPrefix = "/hosts/";

/** A call on its way through the platform. */
struct Call
{
  RequestTarget target;
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
};

/** A call that waits for a change of an object. */
struct Watcher
{
  ObjectKey key;
  ObjectTag known;
  std::shared_ptr<HttpResponder> responder;
  asio::steady_timer timer;
};

// Some clients send the tag of a watch without its quotes.
ObjectTag ParseTag(const std::string& aText)
{
  if (!aText.empty() && aText.front() == '"') {
    return ObjectTag(aText);
  }
  return ObjectTag("\"" + aText + "\"");
}

ObjectTable::Condition ConditionOf(const HttpRequest& aRequest)
{
  ObjectTable::Condition condition;
  if (const std::string* match = aRequest.fields.Find("If-Match")) {
    condition.match = ParseTag(*match);
  }
  condition.mustBeAbsent = aRequest.fields.Find("If-None-Match") != nullptr;
  return condition;
}

HttpResponse TagAnswer(int aStatus, const ObjectTag& aTag)
{
  HttpResponse response = StatusAnswer(aStatus);
  response.fields.Add("ETag", aTag.value());
  return response;
}

HttpResponse ObjectAnswer(const StoredObject& aObject)
{
  HttpResponse response = TagAnswer(200, aObject.tag);
  response.body = *aObject.body;
  return response;
}

} // namespace

class Platform::Impl
{
public:
  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const PlatformFaults& aFaults)
    : context_(aContext)
    , faults_(aFaults)
    , reads_(aClock, aFaults.readsPerSecond)
    , writes_(aClock, aFaults.writesPerSecond)
    , hosts_(aClock)
    , staleTimer_(aContext)
  {
  }

  ~Impl() { DropWatchers(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Outcome<void> Listen(const Endpoint& aEndpoint)
  {
    HttpServerOptions options;
    options.endpoint = aEndpoint;
    auto server = HttpServer::Make(
      context_,
      options,
      [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
        RequestTarget target = RequestTarget::Parse(aRequest.target);
        Accept(
          { std::move(target), std::move(aRequest), std::move(aResponder) });
      });
    if (!server) {
      return std::move(server).as_failure();
    }
    server_ = std::move(server).value();
    return outcome::success();
  }

private:
  /** A call that counts towards a rate and suffers faults, or an own one. */
  struct Route
  {
    const char* method;
    std::string_view path;
    bool wholePath;
    /** Query parameter that the route needs; empty for none. */
    const char* parameter;
    void (Impl::*handle)(Call&);
    std::uint64_t CallCounts::*count;
    RateLimit Impl::*limit;
  };

  static const std::array<Route, 11> kRoutes;

  static bool Matches(const Route& aRoute, const Call& aCall)
  {
    const std::string& path = aCall.target.path;
    const bool samePath =
      aRoute.wholePath ? path == aRoute.path : path.rfind(aRoute.path, 0) == 0;
    return samePath && aCall.request.method == aRoute.method &&
           (*aRoute.parameter == '\0' || aCall.target.Find(aRoute.parameter));
  }

  void Accept(Call aCall)
  {
    for (const Route& route : kRoutes) {
      if (Matches(route, aCall)) {
        Run(route, std::move(aCall));
        return;
      }
    }
    aCall.responder->Send(StatusAnswer(404));
  }

  void Run(const Route& aRoute, Call aCall)
  {
    if (!aRoute.count) {
      (this->*aRoute.handle)(aCall);
      return;
    }
    if (faults_.down) {
      aCall.responder->Drop();
      return;
    }
    if (!(this->*aRoute.limit).Take()) {
      ++counts_.refused;
      aCall.responder->Send(StatusAnswer(429));
      return;
    }
    ++(counts_.*aRoute.count);
    if (faults_.slow == Duration::zero()) {
      (this->*aRoute.handle)(aCall);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, faults_.slow);
    auto call = std::make_shared<Call>(std::move(aCall));
    timer->async_wait(
      [this, timer, call, &aRoute](const asio::error_code& aError) {
        if (!aError) {
          (this->*aRoute.handle)(*call);
        }
      });
  }

  static ObjectKey KeyOf(const Call& aCall)
  {
    return ObjectKey(aCall.target.path.substr(kObjectsPrefix.size()));
  }

  const ObjectTable::Objects& Readable() const
  {
    return staleObjects_ ? *staleObjects_ : objects_.All();
  }

  void Get(Call& aCall) { SendObject(KeyOf(aCall), *aCall.responder); }

  void SendObject(const ObjectKey& aKey, HttpResponder& aResponder)
  {
    const auto found = Readable().find(aKey);
    aResponder.Send(found == Readable().end() ? StatusAnswer(404)
                                              : ObjectAnswer(found->second));
  }

  void Put(Call& aCall)
  {
    const ObjectKey key = KeyOf(aCall);
    if (aCall.request.body.size() > kMaxObjectBytes) {
      aCall.responder->Send(StatusAnswer(413));
      return;
    }
    const ObjectTag before = TagOf(objects_.All(), key);
    if (!objects_.Allows(key, ConditionOf(aCall.request))) {
      aCall.responder->Send(TagAnswer(412, before));
      return;
    }
    const ObjectTag tag = objects_.Put(key, std::move(aCall.request.body));
    AnswerWrite(aCall, TagAnswer(before == AbsentTag() ? 201 : 200, tag));
    WakeWatchers();
  }

  void Delete(Call& aCall)
  {
    const ObjectKey key = KeyOf(aCall);
    if (!objects_.Allows(key, ConditionOf(aCall.request))) {
      aCall.responder->Send(TagAnswer(412, TagOf(objects_.All(), key)));
      return;
    }
    if (!objects_.Delete(key)) {
      aCall.responder->Send(StatusAnswer(404));
      return;
    }
    AnswerWrite(aCall, StatusAnswer(204));
    WakeWatchers();
  }

  void AnswerWrite(Call& aCall, HttpResponse aResponse)
  {
    if (faults_.loseWriteAnswers > 0) {
      --faults_.loseWriteAnswers;
      aCall.responder->Drop();
      return;
    }
    aCall.responder->Send(std::move(aResponse));
  }

  void List(Call& aCall)
  {
    const std::string* given = aCall.target.Find("prefix");
    const std::string prefix = given ? *given : std::string();
    nlohmann::json list = nlohmann::json::array();
    const ObjectTable::Objects& objects = Readable();
    for (auto object = objects.lower_bound(ObjectKey(prefix));
         object != objects.end() && object->first.value().rfind(prefix, 0) == 0;
         ++object) {
      list.push_back({ { "key", object->first.value() },
                       { "etag", object->second.tag.value() } });
    }
    aCall.responder->Send(JsonAnswer(list));
  }

  void Watch(Call& aCall)
  {
    const ObjectKey key = KeyOf(aCall);
    const ObjectTag known = ParseTag(*aCall.target.Find("watch"));
    if (TagOf(Readable(), key) != known) {
      SendObject(key, *aCall.responder);
      return;
    }
    const std::string* wait = aCall.target.Find("wait_ms");
    const std::chrono::milliseconds limit =
      std::min(std::chrono::milliseconds(
                 wait ? std::strtoul(wait->c_str(), nullptr, 10) : 0),
               kMaxWatchWait);
    watchers_.push_back(
      { key, known, aCall.responder, asio::steady_timer(context_, limit) });
    const auto watcher = std::prev(watchers_.end());
    watcher->timer.async_wait(
      [this, watcher, known](const asio::error_code& aError) {
        if (!aError) {
          EndWatch(watcher)->Send(TagAnswer(304, known));
        }
      });
    watcher->responder->OnGone([this, watcher] { EndWatch(watcher); });
  }

  std::shared_ptr<HttpResponder> EndWatch(std::list<Watcher>::iterator aWatcher)
  {
    std::shared_ptr<HttpResponder> responder = std::move(aWatcher->responder);
    watchers_.erase(aWatcher);
    return responder;
  }

  void WakeWatchers()
  {
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
      const auto next = std::next(watcher);
      if (TagOf(Readable(), watcher->key) != watcher->known) {
        const ObjectKey key = watcher->key;
        SendObject(key, *EndWatch(watcher));
      }
      watcher = next;
    }
  }

  void Hosts(Call& aCall)
  {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, host] : hosts_.Shown()) {
      nlohmann::json entry = GetProperties(host, kHostProperties);
      entry["id"] = id.value();
      list.push_back(std::move(entry));
    }
    aCall.responder->Send(JsonAnswer(list));
  }

  static HostId HostOf(const Call& aCall)
  {
    return HostId(aCall.target.path.substr(kHostsPrefix.size()));
  }

  void PutHost(Call& aCall)
  {
    HostTable::Host host;
    const Outcome<void> set =
      SetProperties(host,
                    kHostProperties,
                    nlohmann::json::parse(aCall.request.body, nullptr, false));
    if (!set) {
      aCall.responder->Send(BadRequestAnswer(set.error()));
      return;
    }
    hosts_.Change(HostOf(aCall), std::move(host), faults_.hostListLag);
    aCall.responder->Send(StatusAnswer(204));
  }

  void DeleteHost(Call& aCall)
  {
    hosts_.Change(HostOf(aCall), std::nullopt, faults_.hostListLag);
    aCall.responder->Send(StatusAnswer(204));
  }

  void GetCalls(Call& aCall)
  {
    aCall.responder->Send(JsonAnswer(GetProperties(counts_, kCallCounts)));
  }

  void GetFaults(Call& aCall)
  {
    aCall.responder->Send(JsonAnswer(GetProperties(faults_, kPlatformFaults)));
  }

  void PutFaults(Call& aCall)
  {
    const Outcome<void> set =
      SetProperties(faults_,
                    kPlatformFaults,
                    nlohmann::json::parse(aCall.request.body, nullptr, false));
    if (!set) {
      aCall.responder->Send(BadRequestAnswer(set.error()));
      return;
    }
    ApplyFaults();
    aCall.responder->Send(StatusAnswer(204));
  }

  void ApplyFaults()
  {
    reads_.SetRate(faults_.readsPerSecond);
    writes_.SetRate(faults_.writesPerSecond);
    const bool stale = faults_.stale || faults_.staleFor > Duration::zero();
    if (!stale) {
      EndStaleness();
    } else if (!staleObjects_) {
      staleObjects_ = objects_.All();
      StartStaleTimer();
    }
    if (faults_.down) {
      DropWatchers();
    }
  }

  void DropWatchers()
  {
    while (!watchers_.empty()) {
      EndWatch(watchers_.begin())->Drop();
    }
  }

  void StartStaleTimer()
  {
    if (faults_.staleFor == Duration::zero()) {
      return;
    }
    staleTimer_.expires_after(faults_.staleFor);
    staleTimer_.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        EndStaleness();
      }
    });
  }

  void EndStaleness()
  {
    staleTimer_.cancel();
    faults_.stale = false;
    faults_.staleFor = Duration::zero();
    staleObjects_.reset();
    WakeWatchers();
  }

  asio::io_context& context_;
  PlatformFaults faults_;
  CallCounts counts_;
  RateLimit reads_;
  RateLimit writes_;
  ObjectTable objects_;
  std::optional<ObjectTable::Objects> staleObjects_;
  HostTable hosts_;
  std::list<Watcher> watchers_;
  asio::steady_timer staleTimer_;
  std::unique_ptr<HttpServer> server_;
};

const std::array<Platform::Impl::Route, 11> Platform::Impl::kRoutes{ {
  { "GET",
    kObjectsPrefix,
    false,
    "watch",
    &Impl::Watch,
    &CallCounts::watch,
    &Impl::reads_ },
  { "GET",
    kObjectsPrefix,
    false,
    "",
    &Impl::Get,
    &CallCounts::get,
    &Impl::reads_ },
  { "PUT",
    kObjectsPrefix,
    false,
    "",
    &Impl::Put,
    &CallCounts::put,
    &Impl::writes_ },
  { "DELETE",
    kObjectsPrefix,
    false,
    "",
    &Impl::Delete,
    &CallCounts::remove,
    &Impl::writes_ },
  { "GET",
    "/objects",
    true,
    "",
    &Impl::List,
    &CallCounts::list,
    &Impl::reads_ },
  { "GET",
    "/hosts",
    true,
    "",
    &Impl::Hosts,
    &CallCounts::hosts,
    &Impl::reads_ },
  { "PUT", kHostsPrefix, false, "", &Impl::PutHost, nullptr, nullptr },
  { "DELETE", kHostsPrefix, false, "", &Impl::DeleteHost, nullptr, nullptr },
  { "GET", "/calls", true, "", &Impl::GetCalls, nullptr, nullptr },
  { "GET", "/faults", true, "", &Impl::GetFaults, nullptr, nullptr },
  { "PUT", "/faults", true, "", &Impl::PutFaults, nullptr, nullptr },
} };

Outcome<std::unique_ptr<Platform>> Platform::Make(asio::io_context& aContext,
                                                  const Clock& aClock,
                                                  const Endpoint& aEndpoint,
                                                  const PlatformFaults& aFaults)
{
  auto impl = std::make_unique<Impl>(aContext, aClock, aFaults);
  BOOST_OUTCOME_TRY(impl->Listen(aEndpoint));
  return std::unique_ptr<Platform>(new Platform(std::move(impl)));
}

Platform::Platform(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

Platform::~Platform() = default;

} // namespace lacewing
