#include "store/HttpObjectStore.h"

#include "core/UrlText.h"
#include "net/HttpClient.h"
#include "store/StoreAnswersPriv.h"

#include <utility>

namespace lacewing {

namespace {

// Values have at most 1 MB; lists of all blobs can be longer.
constexpr ByteCount kMaxAnswer{ 8U << 20U };

std::string ObjectPath(const ObjectKey& aKey)
{
  return "/objects/" + EscapeUrl(aKey.value());
}

} // namespace

class HttpObjectStore::Impl
{
public:
  Impl(asio::io_context& aContext, const HttpObjectStoreOptions& aOptions)
    : options_(aOptions)
    , client_(aContext, HttpClientOptions())
  {
  }

  HttpCall Read(std::string aTarget, std::chrono::milliseconds aWait = {}) const
  {
    HttpCall call;
    call.endpoint = options_.endpoint;
    call.target = std::move(aTarget);
    call.timeout = options_.timeout + aWait;
    call.maxResponseBody = kMaxAnswer;
    call.idempotent = true;
    return call;
  }

  HttpCall Write(const char* aMethod, const ObjectKey& aKey) const
  {
    HttpCall call = Read(ObjectPath(aKey));
    call.method = aMethod;
    call.idempotent = false;
    return call;
  }

  /** Makes the call and hands the answer, read by aReader, to aHandler. */
  template<class Reader, class Handler>
  void Start(StoreCallKind aKind,
             HttpCall aCall,
             Reader aReader,
             Handler aHandler)
  {
    const auto kind = static_cast<std::size_t>(aKind);
    ++counts_.started[kind];
    const bool write = !aCall.idempotent;
    client_.Start(std::move(aCall),
                  [this, kind, write, aReader, handler = std::move(aHandler)](
                    HttpCallResult aResult) {
                    auto answer = CheckAnswer(std::move(aResult), write);
                    if (!answer) {
                      const ErrorKind error = answer.error().kind;
                      if (error != ErrorKind::kNotFound &&
                          error != ErrorKind::kConflict) {
                        ++counts_.failed[kind];
                      }
                      handler(std::move(answer).as_failure());
                      return;
                    }
                    handler(aReader(std::move(answer).value()));
                  });
  }

  const StoreCallCounts& Counts() const { return counts_; }

private:
  HttpObjectStoreOptions options_;
  StoreCallCounts counts_;
  HttpClient client_;
};

HttpObjectStore::HttpObjectStore(asio::io_context& aContext,
                                 const HttpObjectStoreOptions& aOptions)
  : impl_(std::make_unique<Impl>(aContext, aOptions))
{
}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::Get(const ObjectKey& aKey, GetHandler aHandler)
{
  impl_->Start(StoreCallKind::kGet,
               impl_->Read(ObjectPath(aKey)),
               &ReadObject,
               std::move(aHandler));
}

void HttpObjectStore::Put(const ObjectKey& aKey,
                          std::string aBody,
                          const ObjectCondition& aCondition,
                          PutHandler aHandler)
{
  HttpCall call = impl_->Write("PUT", aKey);
  call.body = std::make_shared<const std::string>(std::move(aBody));
  if (aCondition.currentTag) {
    call.fields.Add("If-Match", aCondition.currentTag->value());
  } else {
    call.fields.Add("If-None-Match", "*");
  }
  impl_->Start(
    StoreCallKind::kPut, std::move(call), &ReadTag, std::move(aHandler));
}

void HttpObjectStore::Delete(const ObjectKey& aKey, DeleteHandler aHandler)
{
  impl_->Start(
    StoreCallKind::kDelete,
    impl_->Write("DELETE", aKey),
    [](const HttpResponse&) -> Outcome<void> { return outcome::success(); },
    std::move(aHandler));
}

void HttpObjectStore::List(const std::string& aPrefix, ListHandler aHandler)
{
  impl_->Start(StoreCallKind::kList,
               impl_->Read("/objects?prefix=" + EscapeUrl(aPrefix)),
               &ReadList,
               std::move(aHandler));
}

void HttpObjectStore::Watch(const ObjectKey& aKey,
                            const ObjectTag& aKnown,
                            std::chrono::milliseconds aWait,
                            WatchHandler aHandler)
{
  const std::string target = ObjectPath(aKey) +
                             "?watch=" + EscapeUrl(aKnown.value()) +
                             "&wait_ms=" + std::to_string(aWait.count());
  impl_->Start(
    StoreCallKind::kWatch,
    impl_->Read(target, aWait),
    [](HttpResponse aResponse) -> Outcome<std::optional<ObjectValue>> {
      if (aResponse.status == 304) {
        return std::optional<ObjectValue>();
      }
      BOOST_OUTCOME_TRY(auto value, ReadObject(std::move(aResponse)));
      return std::optional<ObjectValue>(std::move(value));
    },
    std::move(aHandler));
}

void HttpObjectStore::Hosts(HostsHandler aHandler)
{
  impl_->Start(StoreCallKind::kHosts,
               impl_->Read("/hosts"),
               &ReadHosts,
               std::move(aHandler));
}

const StoreCallCounts& HttpObjectStore::Counts() const
{
  return impl_->Counts();
}

} // namespace lacewing
