#include "net/CurlMultiPriv.h"

#include <asio/post.hpp>

#include <chrono>
#include <unistd.h>
#include <utility>

namespace lacewing {

namespace {

void InitializeLibrary()
{
  static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)done;
}

} // namespace

/** One watched socket; wanted holds the CURL_POLL_... bits now in force. */
struct CurlMulti::Watch
{
  Watch(asio::io_context& aContext, curl_socket_t aSocket)
    : descriptor(aContext, aSocket)
    , socket(aSocket)
  {
  }

  asio::posix::stream_descriptor descriptor;
  curl_socket_t socket;
  int wanted = 0;
  int waiting = 0;
  bool dropped = false;
};

CurlMulti::CurlMulti(asio::io_context& aContext,
                     long aMaxIdleConnections,
                     DoneHandler aDone)
  : context_(aContext)
  , timer_(aContext)
  , done_(std::move(aDone))
  , alive_(std::make_shared<Alive>(Alive{ this }))
{
  InitializeLibrary();
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlMulti::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlMulti::OnTimeout);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, aMaxIdleConnections);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

CurlMulti::~CurlMulti()
{
  alive_->self = nullptr;
  curl_multi_cleanup(multi_);
  for (auto& [socket, watch] : watches_) {
    watch->dropped = true;
    watch->descriptor.release();
  }
}

void CurlMulti::Attach(CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETFUNCTION, &CurlMulti::OnClose);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETDATA, this);
}

void CurlMulti::Add(CURL* aEasy)
{
  curl_multi_add_handle(multi_, aEasy);
}

void CurlMulti::Remove(CURL* aEasy)
{
  curl_multi_remove_handle(multi_, aEasy);
}

int CurlMulti::OnSocket(CURL* /* aEasy */,
                        curl_socket_t aSocket,
                        int aAction,
                        void* aSelf,
                        void* /* aSocketData */)
{
  auto& self = *static_cast<CurlMulti*>(aSelf);
  if (aAction == CURL_POLL_REMOVE) {
    // The socket is idle now. It stays registered until it is closed, which
    // saves two system calls for each request on a kept connection.
    self.Unwatch(aSocket);
  } else {
    self.SetWatch(aSocket, aAction);
  }
  return 0;
}

int CurlMulti::OnTimeout(CURLM* /* aMulti */, long aMilliseconds, void* aSelf)
{
  static_cast<CurlMulti*>(aSelf)->SetTimer(aMilliseconds);
  return 0;
}

int CurlMulti::OnClose(void* aSelf, curl_socket_t aSocket)
{
  static_cast<CurlMulti*>(aSelf)->DropWatch(aSocket);
  return close(aSocket);
}

void CurlMulti::Unwatch(curl_socket_t aSocket)
{
  const auto entry = watches_.find(aSocket);
  if (entry == watches_.end()) {
    return;
  }
  entry->second->wanted = 0;
  // libcurl may read an answer in a timer's action, before the wait for it has
  // ended; on an idle kept connection that wait would last until its close.
  if (entry->second->waiting != 0) {
    entry->second->descriptor.cancel();
  }
}

void CurlMulti::SetWatch(curl_socket_t aSocket, int aAction)
{
  std::shared_ptr<Watch>& watch = watches_[aSocket];
  if (!watch) {
    watch = std::make_shared<Watch>(context_, aSocket);
  }
  watch->wanted = aAction;
  WaitFor(watch, CURL_POLL_IN);
  WaitFor(watch, CURL_POLL_OUT);
}

void CurlMulti::DropWatch(curl_socket_t aSocket)
{
  const auto entry = watches_.find(aSocket);
  if (entry == watches_.end()) {
    return;
  }
  // The socket belongs to libcurl, which is about to close it.
  entry->second->dropped = true;
  entry->second->descriptor.release();
  watches_.erase(entry);
}

void CurlMulti::WaitFor(const std::shared_ptr<Watch>& aWatch, int aEvent)
{
  if ((aWatch->wanted & aEvent) == 0 || (aWatch->waiting & aEvent) != 0) {
    return;
  }
  aWatch->waiting |= aEvent;
  const auto type = aEvent == CURL_POLL_IN
                      ? asio::posix::descriptor_base::wait_read
                      : asio::posix::descriptor_base::wait_write;
  aWatch->descriptor.async_wait(
    type,
    [alive = alive_, watch = aWatch, aEvent](const asio::error_code& aError) {
      watch->waiting &= ~aEvent;
      if (alive->self == nullptr || watch->dropped) {
        return;
      }
      if ((watch->wanted & aEvent) == 0) {
        return;
      }
      if (aError == asio::error::operation_aborted) {
        // Cancelled for an earlier call; a new one wants the event again.
        alive->self->WaitFor(watch, aEvent);
        return;
      }
      const int ready =
        aEvent == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
      alive->self->Act(watch->socket, aError ? CURL_CSELECT_ERR : ready);
      if (alive->self != nullptr && !watch->dropped) {
        alive->self->WaitFor(watch, aEvent);
      }
    });
}

void CurlMulti::SetTimer(long aMilliseconds)
{
  if (aMilliseconds < 0) {
    due_.reset();
    return;
  }
  if (aMilliseconds == 0) {
    // Starts each call; a queued handler is cheaper than a timer.
    due_.reset();
    ActSoon();
    return;
  }
  due_ =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aMilliseconds);
  // A timer that fires too early costs less than one that is set anew for
  // each call.
  if (!armed_ || *due_ < *armed_) {
    ArmTimer();
  }
}

void CurlMulti::ArmTimer()
{
  armed_ = due_;
  timer_.ArmAt(*due_, [alive = alive_] {
    CurlMulti* self = alive->self;
    if (self == nullptr) {
      return;
    }
    self->armed_.reset();
    if (!self->due_) {
      return;
    }
    if (std::chrono::steady_clock::now() < *self->due_) {
      self->ArmTimer();
      return;
    }
    self->due_.reset();
    self->Act(CURL_SOCKET_TIMEOUT, 0);
  });
}

void CurlMulti::ActSoon()
{
  if (actQueued_) {
    return;
  }
  actQueued_ = true;
  asio::post(context_, [alive = alive_] {
    if (alive->self != nullptr) {
      alive->self->actQueued_ = false;
      alive->self->Act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void CurlMulti::Act(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(multi_, aSocket, aEvents, &running);
  CollectDone();
}

void CurlMulti::CollectDone()
{
  const std::shared_ptr<Alive> alive = alive_;
  int left = 0;
  while (alive->self != nullptr) {
    const CURLMsg* message = curl_multi_info_read(multi_, &left);
    if (message == nullptr) {
      return;
    }
    if (message->msg == CURLMSG_DONE) {
      done_(message->easy_handle, message->data.result);
    }
  }
}

} // namespace lacewing
