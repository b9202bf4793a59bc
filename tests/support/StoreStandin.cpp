#include "support/StoreStandin.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

const std::string kObjects = "/-/objects/";

HttpMessage Json(unsigned aStatus, const nlohmann::json& aBody)
{
  HttpMessage response;
  response.head.status = aStatus;
  response.head.fields.Add("Content-Type", "application/json");
  response.body = aBody.dump();
  return response;
}

nlohmann::json ObjectJson(const std::string& aName,
                          std::uint64_t aRevision,
                          const nlohmann::json& aSpec)
{
  return { { "metadata", { { "name", aName }, { "revision", aRevision } } },
           { "spec", aSpec },
           { "status", nullptr } };
}

/** The value of query parameter aName in aTarget; empty if absent. */
std::string QueryParameter(const std::string& aTarget, const std::string& aName)
{
  for (const char* separator : { "?", "&" }) {
    const std::string key = separator + aName + "=";
    const std::size_t at = aTarget.find(key);
    if (at != std::string::npos) {
      const std::size_t begin = at + key.size();
      return aTarget.substr(begin, aTarget.find('&', begin) - begin);
    }
  }
  return {};
}

} // namespace

StoreStandin::StoreStandin(asio::io_context& aContext,
                           const Endpoint& aEndpoint)
  : context_(aContext)
  , address_(aEndpoint.address)
  , server_(SmallHttpServer::Make(aContext,
                                  aEndpoint,
                                  [this](const HttpMessage& aRequest,
                                         SmallHttpServer::Responder aRespond) {
                                    Serve(aRequest, std::move(aRespond));
                                  })
              .value())
{
}

void StoreStandin::Put(const std::string& aKind,
                       const std::string& aName,
                       const nlohmann::json& aSpec)
{
  ++state_.revision;
  state_.objects[aKind][aName] = { state_.revision, aSpec };
  state_.history.push_back({ state_.revision, aKind, aName, false, aSpec });
  RespondToWatches();
}

void StoreStandin::Remove(const std::string& aKind, const std::string& aName)
{
  if (state_.objects[aKind].erase(aName) > 0) {
    ++state_.revision;
    state_.history.push_back({ state_.revision, aKind, aName, true, nullptr });
    RespondToWatches();
  }
}

bool StoreStandin::Has(const std::string& aKind, const std::string& aName) const
{
  const auto kind = state_.objects.find(aKind);
  return kind != state_.objects.end() && kind->second.count(aName) > 0;
}

void StoreStandin::ForgetHistory()
{
  ++state_.revision;
  historyStart_ = state_.revision;
  state_.history.clear();
  for (PendingWatch& pendingWatch : std::exchange(pendingWatches_, {})) {
    pendingWatch.timer->cancel();
    pendingWatch.respond(Json(410, nlohmann::json::object()));
  }
}

void StoreStandin::TakeCopy()
{
  copy_ = state_;
}

void StoreStandin::RestoreCopy()
{
  ++era_;
  state_ = copy_;
  for (PendingWatch& pendingWatch : std::exchange(pendingWatches_, {})) {
    pendingWatch.timer->cancel();
    unansweredResponders_.push_back(std::move(pendingWatch.respond));
  }
}

void StoreStandin::Serve(const HttpMessage& aRequest,
                         SmallHttpServer::Responder aSend)
{
  ++calls_;
  const SmallHttpServer::Responder respond =
    [this, send = std::move(aSend)](HttpMessage aResponse) {
      aResponse.head.fields.Add("Store-Era", std::to_string(era_));
      send(std::move(aResponse));
    };
  const std::string& target = aRequest.head.target;
  serializableCalls_ += QueryParameter(target, "serializable").empty() ? 0 : 1;
  if (fault_ == StoreFault::kUnresponsive) {
    unansweredResponders_.push_back(respond);
    return;
  }
  if (fault_ == StoreFault::kBusy) {
    respond(Json(503, nlohmann::json::object()));
    return;
  }
  if (target.rfind(kObjects, 0) != 0) {
    respond(Json(404, nlohmann::json::object()));
    return;
  }
  const std::string path = target.substr(0, target.find('?'));
  const std::string kind = path.substr(kObjects.size());
  if (aRequest.head.method == "POST") {
    Create(kind, aRequest, respond);
    return;
  }
  const std::string watch = QueryParameter(target, "watch");
  if (watch.empty()) {
    List(kind, respond);
    return;
  }
  Watch(
    kind,
    std::stoull(watch),
    std::chrono::milliseconds(std::stoll(QueryParameter(target, "wait_ms"))),
    respond);
}

void StoreStandin::Create(const std::string& aKind,
                          const HttpMessage& aRequest,
                          const SmallHttpServer::Responder& aRespond)
{
  const auto body = nlohmann::json::parse(aRequest.body);
  const std::string name = body.at("metadata").at("name");
  if (Has(aKind, name)) {
    aRespond(Json(409, nlohmann::json::object()));
    return;
  }
  Put(aKind, name, body.at("spec"));
  aRespond(Json(200, ObjectJson(name, state_.revision, body.at("spec"))));
}

void StoreStandin::List(const std::string& aKind,
                        const SmallHttpServer::Responder& aRespond)
{
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [name, object] : state_.objects[aKind]) {
    items.push_back(ObjectJson(name, object.revision, object.spec));
  }
  aRespond(Json(200,
                { { "items", items },
                  { "more", false },
                  { "store_revision", state_.revision } }));
}

nlohmann::json StoreStandin::EventsSince(const std::string& aKind,
                                         std::uint64_t aSince) const
{
  nlohmann::json events = nlohmann::json::array();
  for (const Event& event : state_.history) {
    if (event.kind == aKind && event.revision > aSince) {
      events.push_back(
        { { "removed", event.removed },
          { "object", ObjectJson(event.name, event.revision, event.spec) } });
    }
  }
  return events;
}

void StoreStandin::Watch(const std::string& aKind,
                         std::uint64_t aSince,
                         std::chrono::milliseconds aWait,
                         SmallHttpServer::Responder aRespond)
{
  if (aSince < historyStart_ || aSince > state_.revision) {
    aRespond(Json(410, nlohmann::json::object()));
    return;
  }
  PendingWatch pendingWatch;
  pendingWatch.kind = aKind;
  pendingWatch.since = aSince;
  pendingWatch.respond = std::move(aRespond);
  pendingWatch.timer = std::make_unique<asio::steady_timer>(context_, aWait);
  pendingWatches_.push_back(std::move(pendingWatch));
  const auto at = std::prev(pendingWatches_.end());
  at->timer->async_wait([this, at](const asio::error_code& aError) {
    if (!aError) {
      const auto respond = at->respond;
      pendingWatches_.erase(at);
      respond(Json(200,
                   { { "events", nlohmann::json::array() },
                     { "store_revision", state_.revision } }));
    }
  });
  RespondToWatches();
}

void StoreStandin::RespondToWatches()
{
  if (fault_ != StoreFault::kNone) {
    return;
  }
  for (auto pendingWatch = pendingWatches_.begin();
       pendingWatch != pendingWatches_.end();) {
    const nlohmann::json events =
      EventsSince(pendingWatch->kind, pendingWatch->since);
    if (events.empty()) {
      ++pendingWatch;
      continue;
    }
    const auto respond = pendingWatch->respond;
    pendingWatch->timer->cancel();
    pendingWatch = pendingWatches_.erase(pendingWatch);
    respond(Json(
      200, { { "events", events }, { "store_revision", state_.revision } }));
  }
}

} // namespace lacewing
