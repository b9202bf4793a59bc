#ifndef CONTROL_PEERLINKS_H
#define CONTROL_PEERLINKS_H

#include "control/LinkId.h"
#include "control/PeerCounts.h"
#include "control/PeerLinksHandlers.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"
#include "net/FrameCodec.h"
#include "wire/WireMessage.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/**
 * The connections with other controlds and with the entryd of this host. Of
 * each pair of controlds the one with the lower id opens the connection; the
 * other one does so when that does not happen. A link is ready once both
 * sides have said hello; a hello of another deployment is refused.
 */
class PeerLinks
{
public:
  static Outcome<std::unique_ptr<PeerLinks>> Make(asio::io_context& aContext,
                                                  const Clock& aClock,
                                                  const HostId& aSelf,
                                                  const Endpoint& aEndpoint,
                                                  PeerLinksHandlers aHandlers);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Opens and closes connections so that these peers are connected. */
  void Connect(const std::map<HostId, Endpoint>& aPeers);

  /** The peer's hello; null when the link is not ready. */
  const HelloMessage* HelloOf(LinkId aLink) const;
  /** One ready link for each controld. */
  std::vector<LinkId> Controls() const;
  std::vector<LinkId> Entries() const;
  std::optional<LinkId> LinkTo(const HostId& aHost) const;

  template<class Message>
  void Send(LinkId aLink, const Message& aMessage)
  {
    Send(std::vector<LinkId>{ aLink }, aMessage);
  }

  /** Encodes once and sends to all. */
  template<class Message>
  void Send(const std::vector<LinkId>& aLinks, const Message& aMessage)
  {
    if (!aLinks.empty()) {
      SendFrame(aLinks, Message::kKind, EncodeFrame(EncodeMessage(aMessage)));
    }
  }

  /** Closes a link whose peer broke the protocol, and counts it. */
  void Refuse(LinkId aLink, const Error& aError);
  void CountUnknownKind();
  /** aKind is one of the known kinds. */
  void CountReceived(const char* aKind);

  const PeerCounts& Counts() const;

private:
  class Impl;
  explicit PeerLinks(std::unique_ptr<Impl> aImpl);

  void SendFrame(const std::vector<LinkId>& aLinks,
                 const char* aKind,
                 const std::string& aFrame);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // CONTROL_PEERLINKS_H
