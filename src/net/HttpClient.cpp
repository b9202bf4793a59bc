#include "net/HttpClient.h"

#include "net/CurlEasyPriv.h"
#include "net/CurlMultiPriv.h"

#include <asio/post.hpp>

#include <unordered_map>
#include <utility>

namespace lacewing {

struct HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext, const HttpClientOptions& aOptions)
    : options(aOptions)
    , multi(aContext,
            aOptions.maxIdleConnections,
            [this](CURL* aEasy, CURLcode aCode) { Finish(aEasy, aCode); })
  {
  }

  HttpCallId Start(HttpCall aCall, HttpCallHandler aHandler)
  {
    const HttpCallId id = ++lastId;
    auto easy = TakeEasy();
    easy->Prepare(std::move(aCall));
    CURL* handle = easy->Handle();
    ids.emplace(handle, id);
    calls.emplace(id, Pending{ std::move(easy), std::move(aHandler) });
    multi.Add(handle);
    return id;
  }

  void Cancel(HttpCallId aCall)
  {
    const auto call = calls.find(aCall);
    if (call == calls.end()) {
      return;
    }
    Pending pending = std::move(call->second);
    calls.erase(call);
    ids.erase(pending.easy->Handle());
    multi.Remove(pending.easy->Handle());
    pending.easy->Release();
    Keep(std::move(pending.easy));
  }

  void Finish(CURL* aEasy, CURLcode aCode)
  {
    const auto id = ids.find(aEasy);
    if (id == ids.end()) {
      return;
    }
    const auto call = calls.find(id->second);
    Pending pending = std::move(call->second);
    calls.erase(call);
    ids.erase(id);
    HttpCallResult result = pending.easy->TakeResult(aCode);
    multi.Remove(aEasy);
    Keep(std::move(pending.easy));
    pending.handler(std::move(result));
  }

  void Keep(std::unique_ptr<CurlEasy> aEasy)
  {
    if (spare.size() < kMaxSpareHandles) {
      spare.push_back(std::move(aEasy));
    }
  }

  std::unique_ptr<CurlEasy> TakeEasy()
  {
    if (spare.empty()) {
      auto easy = std::make_unique<CurlEasy>(options);
      multi.Attach(easy->Handle());
      return easy;
    }
    auto easy = std::move(spare.back());
    spare.pop_back();
    return easy;
  }

  struct Pending
  {
    std::unique_ptr<CurlEasy> easy;
    HttpCallHandler handler;
  };

  static constexpr std::size_t kMaxSpareHandles = 256;

  HttpClientOptions options;
  HttpCallId lastId;
  // The multi handle goes before the easy handles that it uses.
  std::unordered_map<CURL*, HttpCallId> ids;
  std::unordered_map<HttpCallId, Pending> calls;
  std::vector<std::unique_ptr<CurlEasy>> spare;
  CurlMulti multi;
};

HttpClient::HttpClient(asio::io_context& aContext,
                       const HttpClientOptions& aOptions)
  : impl_(std::make_shared<Impl>(aContext, aOptions))
{
}

HttpClient::~HttpClient()
{
  while (!impl_->calls.empty()) {
    impl_->Cancel(impl_->calls.begin()->first);
  }
}

HttpCallId HttpClient::Start(HttpCall aCall, HttpCallHandler aHandler)
{
  return impl_->Start(std::move(aCall), std::move(aHandler));
}

void HttpClient::Cancel(HttpCallId aCall)
{
  impl_->Cancel(aCall);
}

} // namespace lacewing
