#ifndef NET_CURLEASYPRIV_H
#define NET_CURLEASYPRIV_H

#include "net/HttpCall.h"
#include "net/HttpCallResult.h"
#include "net/HttpClientOptions.h"

#include <curl/curl.h>

#include <string>

namespace lacewing {

/** One libcurl easy handle, reused from call to call. */
class CurlEasy
{
public:
  explicit CurlEasy(const HttpClientOptions& aOptions);
  ~CurlEasy();
  CurlEasy(const CurlEasy&) = delete;
  CurlEasy& operator=(const CurlEasy&) = delete;

  void Prepare(HttpCall aCall);

  /** Lets go of what the call holds, when it is cancelled. */
  void Release();

  HttpCallResult TakeResult(CURLcode aCode);

  CURL* Handle() const { return handle_; }

private:
  void SetMethodAndBody();
  void SetFields();
  HttpCallEnd Classify(CURLcode aCode) const;
  bool HasBody() const;
  bool BodyIsDelimited() const;
  bool IsOurs() const;
  /** Adds a line of the head without its end; false if it is malformed. */
  bool AddLine(std::string_view aLine);

  static int BeforeSend(void* aSelf,
                        char* aPeerAddress,
                        char* aOwnAddress,
                        int aPeerPort,
                        int aOwnPort);
  static std::size_t WriteBody(char* aData,
                               std::size_t aSize,
                               std::size_t aCount,
                               void* aSelf);
  static std::size_t WriteField(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aSelf);

  CURL* handle_;
  curl_slist* fields_ = nullptr;
  HttpCall call_;
  HttpResponse response_;
  bool sendBegun_ = false;
  bool tooLarge_ = false;
  bool foreign_ = false;
  /** Whether the answer's head is none by RFC 9112. */
  bool malformed_ = false;
  /** Whether the final answer's head was read to its empty line. */
  bool headDone_ = false;
};

} // namespace lacewing

#endif // NET_CURLEASYPRIV_H
