#ifndef STANDIN_PROXYLINK_H
#define STANDIN_PROXYLINK_H

#include "lacewing/Clock.h"
#include "standin/LinkState.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lacewing {

/** Carries the bytes of one direction of a connection, subject to faults. */
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  /** aBroken is called when the connection has to be closed. */
  ProxyLink(const Clock& aClock,
            Socket aFrom,
            Socket aTo,
            LinkState& aState,
            std::function<void()> aBroken);

  void Start();

  /** Takes up changed faults. */
  void Pump();

  /** Ends the direction for the receiver; nothing more is carried. */
  void HalfClose();

  /** Both ends have closed this direction. */
  bool Ended() const { return ended_; }

  void Stop();

private:
  struct Chunk
  {
    TimePoint due;
    /** Empty at the sender's end of the direction. */
    std::string bytes;
  };

  void Read();
  void OnRead(std::size_t aSize);
  void Add(std::string aBytes);
  void WaitUntil(TimePoint aDue);
  void WriteFront();
  void Break();

  const Clock& clock_;
  Socket from_;
  Socket to_;
  LinkState& state_;
  std::function<void()> broken_;
  asio::steady_timer timer_;
  std::array<char, 16384> buffer_{};
  std::deque<Chunk> chunks_;
  std::size_t queuedBytes_ = 0;
  /** When the bandwidth is free for the next bytes. */
  TimePoint free_{};
  std::uint64_t seenChanges_ = 0;
  ByteCount carriedSinceChange_;
  bool reading_ = false;
  bool writing_ = false;
  bool ended_ = false;
};

} // namespace lacewing

#endif // STANDIN_PROXYLINK_H
