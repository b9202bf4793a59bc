#ifndef NET_CURLMULTIPRIV_H
#define NET_CURLMULTIPRIV_H

#include "core/OneShotTimer.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lacewing {

/** A libcurl multi handle whose sockets and timer are watched by Asio. */
class CurlMulti
{
public:
  using DoneHandler = std::function<void(CURL*, CURLcode)>;

  CurlMulti(asio::io_context& aContext,
            long aMaxIdleConnections,
            DoneHandler aDone);
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  /** Sets the options by which aEasy tells of closed sockets. */
  void Attach(CURL* aEasy);
  void Add(CURL* aEasy);
  void Remove(CURL* aEasy);

private:
  struct Watch;
  /** Outlives the multi handle in handlers that are already queued. */
  struct Alive
  {
    CurlMulti* self;
  };

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aAction,
                      void* aSelf,
                      void* aSocketData);
  static int OnTimeout(CURLM* aMulti, long aMilliseconds, void* aSelf);
  static int OnClose(void* aSelf, curl_socket_t aSocket);

  void SetWatch(curl_socket_t aSocket, int aAction);
  void Unwatch(curl_socket_t aSocket);
  void DropWatch(curl_socket_t aSocket);
  void WaitFor(const std::shared_ptr<Watch>& aWatch, int aEvent);
  void SetTimer(long aMilliseconds);
  void ArmTimer();
  void ActSoon();
  void Act(curl_socket_t aSocket, int aEvents);
  void CollectDone();

  asio::io_context& context_;
  OneShotTimer timer_;
  /** When libcurl wants to be called; empty for never. */
  std::optional<TimePoint> due_;
  /** When timer_ fires; it may be earlier than due_. */
  std::optional<TimePoint> armed_;
  bool actQueued_ = false;
  DoneHandler done_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches_;
  std::shared_ptr<Alive> alive_;
  CURLM* multi_;
};

} // namespace lacewing

#endif // NET_CURLMULTIPRIV_H
