#include "net/CurlEasyPriv.h"

#include "http/BodyFraming.h"
#include "http/FieldSyntax.h"
#include "http/MessageBytes.h"
#include "http/StatusLine.h"
#include "http/TrimBlanks.h"

#include <utility>

namespace lacewing {

CurlEasy::CurlEasy(const HttpClientOptions& aOptions)
  : handle_(curl_easy_init())
{
  curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle_, CURLOPT_HTTP09_ALLOWED, 0L);
  // Also keeps libcurl from reading proxy variables for each call.
  curl_easy_setopt(handle_, CURLOPT_PROXY, "");
  curl_easy_setopt(handle_, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle_,
                   CURLOPT_MAXAGE_CONN,
                   static_cast<long>(aOptions.maxIdleAge.count()));
  curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &CurlEasy::WriteBody);
  curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &CurlEasy::WriteField);
  curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &CurlEasy::BeforeSend);
  curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
}

CurlEasy::~CurlEasy()
{
  curl_slist_free_all(fields_);
  curl_easy_cleanup(handle_);
}

void CurlEasy::Prepare(HttpCall aCall)
{
  const bool sameEndpoint = call_.endpoint == aCall.endpoint;
  call_ = std::move(aCall);
  response_ = HttpResponse();
  response_.status = 0;
  sendBegun_ = false;
  tooLarge_ = false;
  foreign_ = false;
  malformed_ = false;
  headDone_ = false;

  if (!sameEndpoint) {
    const std::string url = "http://" + call_.endpoint.ToString() + "/";
    curl_easy_setopt(handle_, CURLOPT_URL, url.c_str());
  }
  // Keeps libcurl from rewriting the path.
  curl_easy_setopt(handle_, CURLOPT_REQUEST_TARGET, call_.target.c_str());
  curl_easy_setopt(
    handle_, CURLOPT_TIMEOUT_MS, static_cast<long>(call_.timeout.count()));
  curl_easy_setopt(handle_,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call_.connectTimeout.count()));
  SetMethodAndBody();
  SetFields();
}

void CurlEasy::SetMethodAndBody()
{
  // Ends the effect of POST and NOBODY of the call before.
  curl_easy_setopt(handle_, CURLOPT_HTTPGET, 1L);
  if (call_.body) {
    // libcurl reads from the body, which call_ keeps, and sends a small one
    // together with the head.
    curl_easy_setopt(handle_,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call_.body->size()));
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, call_.body->data());
  } else if (call_.method == "HEAD") {
    curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
}

void CurlEasy::SetFields()
{
  curl_slist_free_all(fields_);
  // An empty value removes a field that libcurl would add by itself.
  fields_ = curl_slist_append(nullptr, "Expect:");
  fields_ = curl_slist_append(fields_, "Accept:");
  if (call_.fields.Find("Content-Type") == nullptr) {
    fields_ = curl_slist_append(fields_, "Content-Type:");
  }
  for (const HttpField& field : call_.fields) {
    // libcurl writes a field without a value only when it ends in ";".
    const std::string line =
      field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
    fields_ = curl_slist_append(fields_, line.c_str());
  }
  curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, fields_);
}

HttpCallResult CurlEasy::TakeResult(CURLcode aCode)
{
  HttpCallResult result;
  result.end = Classify(aCode);
  if (result.end != HttpCallEnd::kAnswered) {
    result.error = foreign_            ? "the answer is another request's"
                   : malformed_        ? "the answer's head is malformed"
                   : aCode != CURLE_OK ? curl_easy_strerror(aCode)
                   : headDone_         ? "the answer has no stated length"
                                       : "the answer's head broke off";
  }
  result.response = std::move(response_);
  Release();
  return result;
}

void CurlEasy::Release()
{
  call_.body.reset();
  call_.reserve = nullptr;
}

HttpCallEnd CurlEasy::Classify(CURLcode aCode) const
{
  if (tooLarge_) {
    return HttpCallEnd::kTooLarge;
  }
  if (aCode == CURLE_OK) {
    // libcurl 7.88 also reports success when the peer closed within the head.
    return headDone_ && BodyIsDelimited() ? HttpCallEnd::kAnswered
                                          : HttpCallEnd::kLost;
  }
  long sent = 0;
  curl_easy_getinfo(handle_, CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0) {
    return HttpCallEnd::kNotSent;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? HttpCallEnd::kTimedOut
                                           : HttpCallEnd::kLost;
}

bool CurlEasy::HasBody() const
{
  return call_.method != "HEAD" &&
         !StatusHasNoBody(static_cast<unsigned>(response_.status));
}

// A body that ends with the connection may have been cut short unnoticed.
bool CurlEasy::BodyIsDelimited() const
{
  return !HasBody() || response_.fields.Find("Content-Length") != nullptr ||
         response_.fields.Find("Transfer-Encoding") != nullptr;
}

bool CurlEasy::IsOurs() const
{
  if (!call_.echo) {
    return true;
  }
  const std::string* value = response_.fields.Find(call_.echo->name);
  return value != nullptr && *value == call_.echo->value;
}

// libcurl 7.88 calls this on every connection right before it sends, also when
// it repeats a request that a kept connection lost without an answer byte.
int CurlEasy::BeforeSend(void* aSelf,
                         char* /* aPeerAddress */,
                         char* /* aOwnAddress */,
                         int /* aPeerPort */,
                         int /* aOwnPort */)
{
  auto& self = *static_cast<CurlEasy*>(aSelf);
  const bool again = std::exchange(self.sendBegun_, true);
  return again && !self.call_.idempotent ? CURL_PREREQFUNC_ABORT
                                         : CURL_PREREQFUNC_OK;
}

std::size_t CurlEasy::WriteBody(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aSelf)
{
  auto& self = *static_cast<CurlEasy*>(aSelf);
  const std::size_t length = aSize * aCount;
  if (self.response_.body.size() + length >
        self.call_.maxResponseBody.value() ||
      (self.call_.reserve && !self.call_.reserve(ByteCount(length)))) {
    self.tooLarge_ = true;
    return 0;
  }
  self.response_.body.append(aData, length);
  return length;
}

std::size_t CurlEasy::WriteField(char* aData,
                                 std::size_t aSize,
                                 std::size_t aCount,
                                 void* aSelf)
{
  auto& self = *static_cast<CurlEasy*>(aSelf);
  const std::size_t length = aSize * aCount;
  std::string_view line(aData, length);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  // An empty line ends the fields; those of an interim answer need no echo.
  constexpr int kFirstFinalStatus = 200;
  if (line.empty() && self.response_.status >= kFirstFinalStatus) {
    if (!self.IsOurs()) {
      // The transfer fails, so that libcurl closes the connection.
      self.foreign_ = true;
      return 0;
    }
    if (self.HasBody() && !HasClearFraming(self.response_.fields)) {
      self.malformed_ = true;
      return 0;
    }
    self.headDone_ = true;
  }
  if (!line.empty() && !self.AddLine(line)) {
    self.malformed_ = true;
    return 0;
  }
  return length;
}

bool CurlEasy::AddLine(std::string_view aLine)
{
  constexpr std::string_view kStatusLine = "HTTP/";
  if (!headDone_ && aLine.substr(0, kStatusLine.size()) == kStatusLine) {
    // A new status line follows an interim answer, whose fields do not count.
    response_ = HttpResponse();
    const std::optional<unsigned> status = ReadStatus(aLine);
    response_.status = static_cast<int>(status.value_or(0));
    return status.has_value();
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = TrimBlanks(aLine.substr(colon + 1));
  if (!IsFieldName(name) || !IsFieldValue(value)) {
    return false;
  }
  // What follows the head is the trailer, which says nothing about it.
  if (headDone_) {
    return true;
  }
  // As many as an ordinary answer has.
  constexpr std::size_t kUsualFields = 8;
  if (response_.fields.size() == 0) {
    response_.fields.Reserve(kUsualFields);
  }
  response_.fields.Add(std::string(name), std::string(value));
  return true;
}

} // namespace lacewing
