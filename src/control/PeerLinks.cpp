#include "control/PeerLinks.h"

#include "core/Log.h"
#include "net/MessageClient.h"
#include "net/MessageServer.h"

#include <unordered_map>
#include <utility>

namespace lacewing {

namespace {

// Time for the peer that should open the connection to do so.
constexpr Duration kOpenTime = std::chrono::seconds(1);
// Pause before a peer whose hello was refused is tried again.
constexpr Duration kRefusedTime = std::chrono::seconds(5);

} // namespace

class PeerLinks::Impl
{
public:
  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostId& aSelf,
       PeerLinksHandlers aHandlers)
    : context_(aContext)
    , clock_(aClock)
    , handlers_(std::move(aHandlers))
    , self_(aSelf)
  {
  }

  Outcome<void> Listen(const Endpoint& aEndpoint)
  {
    MessageServerHandlers handlers;
    handlers.opened = [this](ConnectionId aConnection) {
      Link link;
      link.connection = aConnection;
      accepted_[aConnection] = Add(std::move(link));
    };
    handlers.received = [this](ConnectionId aConnection,
                               const nlohmann::json& aFrame) {
      OnFrame(accepted_.at(aConnection), aFrame);
    };
    handlers.closed = [this](ConnectionId aConnection) {
      const LinkId link = accepted_.at(aConnection);
      accepted_.erase(aConnection);
      Remove(link);
    };
    handlers.malformed = [this](ConnectionId, const Error& aError) {
      OnMalformed(aError.ToString());
    };
    BOOST_OUTCOME_TRY(
      server_, MessageServer::Make(context_, aEndpoint, std::move(handlers)));
    return outcome::success();
  }

  void Connect(const std::map<HostId, Endpoint>& aPeers)
  {
    for (auto dial = dials_.begin(); dial != dials_.end();) {
      const auto wanted = aPeers.find(dial->first);
      const bool drop = wanted == aPeers.end() ||
                        wanted->second != dial->second.endpoint ||
                        (dial->first < self_ && HasAccepted(dial->first));
      if (drop) {
        Close(dial->second);
        dial = dials_.erase(dial);
      } else {
        ++dial;
      }
    }
    for (const auto& [host, endpoint] : aPeers) {
      const auto [dial, isNew] = dials_.try_emplace(host);
      if (isNew) {
        dial->second.endpoint = endpoint;
        dial->second.openAt =
          clock_.Now() + (self_ < host ? Duration(0) : kOpenTime);
      }
      if (!dial->second.client && dial->second.openAt <= clock_.Now() &&
          !(host < self_ && HasAccepted(host))) {
        Open(host, dial->second);
      }
    }
  }

  const HelloMessage* HelloOf(LinkId aLink) const
  {
    const auto link = links_.find(aLink);
    return link != links_.end() && link->second.hello ? &*link->second.hello
                                                      : nullptr;
  }

  std::vector<LinkId> Controls() const
  {
    std::vector<LinkId> links;
    for (const auto& [host, link] : controls_) {
      links.push_back(link);
    }
    return links;
  }

  std::vector<LinkId> Entries() const
  {
    std::vector<LinkId> links;
    for (const auto& [id, link] : links_) {
      if (link.hello && link.hello->role == WireRole::kEntry) {
        links.push_back(id);
      }
    }
    return links;
  }

  std::optional<LinkId> LinkTo(const HostId& aHost) const
  {
    const auto link = controls_.find(aHost);
    return link == controls_.end() ? std::nullopt
                                   : std::make_optional(link->second);
  }

  void SendFrame(LinkId aLink, const std::string& aFrame)
  {
    const auto link = links_.find(aLink);
    if (link == links_.end()) {
      return;
    }
    if (link->second.connection) {
      server_->SendFrame(*link->second.connection, aFrame);
      return;
    }
    const auto dial = dials_.find(link->second.dialled);
    if (dial != dials_.end() && dial->second.client) {
      dial->second.client->SendFrame(aFrame);
    }
  }

  void CountSent(const char* aKind, std::size_t aCopies, std::size_t aBytes)
  {
    PeerCounts::Sent& sent = counts_.sent[aKind];
    sent.messages += aCopies;
    sent.bytes += ByteCount(aCopies * aBytes);
  }

  void Refuse(LinkId aLink, const Error& aError)
  {
    OnMalformed(aError.ToString());
    Close(aLink);
  }

  PeerCounts& Counts() { return counts_; }

private:
  struct Link
  {
    /** Set for links that the peer opened. */
    std::optional<ConnectionId> connection;
    /** The peer of a link that was opened here. */
    HostId dialled;
    /** Set when the link is ready. */
    std::optional<HelloMessage> hello;
  };

  struct Dial
  {
    Endpoint endpoint;
    TimePoint openAt;
    std::unique_ptr<MessageClient> client;
    /** Set while connected. */
    std::optional<LinkId> link;
  };

  LinkId Add(Link aLink)
  {
    const LinkId id = ++lastLink_;
    links_.emplace(id, std::move(aLink));
    return id;
  }

  void Remove(LinkId aLink)
  {
    const auto found = links_.find(aLink);
    if (found == links_.end()) {
      return;
    }
    const Link link = std::move(found->second);
    links_.erase(found);
    if (!link.hello) {
      return;
    }
    const auto control = controls_.find(link.hello->host);
    if (control != controls_.end() && control->second == aLink) {
      controls_.erase(control);
      ChooseAnother(link.hello->host);
    }
    handlers_.closed(aLink);
  }

  /** Uses another ready link to the same controld, if there is one. */
  void ChooseAnother(const HostId& aHost)
  {
    for (const auto& [id, link] : links_) {
      if (IsControl(link, aHost)) {
        controls_[aHost] = id;
      }
    }
  }

  static bool IsControl(const Link& aLink, const HostId& aHost)
  {
    return aLink.hello && aLink.hello->role == WireRole::kControl &&
           aLink.hello->host == aHost;
  }

  bool HasAccepted(const HostId& aHost) const
  {
    for (const auto& [connection, id] : accepted_) {
      const auto link = links_.find(id);
      if (link != links_.end() && IsControl(link->second, aHost)) {
        return true;
      }
    }
    return false;
  }

  void Open(const HostId& aHost, Dial& aDial)
  {
    MessageClientHandlers handlers;
    handlers.opened = [this, aHost] {
      Link link;
      link.dialled = aHost;
      const LinkId id = Add(std::move(link));
      dials_.at(aHost).link = id;
      SayHello(id);
    };
    handlers.received = [this, aHost](const nlohmann::json& aFrame) {
      const auto dial = dials_.find(aHost);
      if (dial != dials_.end() && dial->second.link) {
        OnFrame(*dial->second.link, aFrame);
      }
    };
    handlers.closed = [this, aHost] {
      Remove(*std::exchange(dials_.at(aHost).link, std::nullopt));
    };
    handlers.malformed = [this] { OnMalformed("the frame is no CBOR map"); };
    aDial.client = std::make_unique<MessageClient>(
      context_, aDial.endpoint, std::move(handlers));
  }

  /** Closes the link of a dial, if there is one, and stops dialling. */
  void Close(Dial& aDial)
  {
    // A client may be destroyed within its own handlers.
    aDial.client.reset();
    if (const auto link = std::exchange(aDial.link, std::nullopt)) {
      Remove(*link);
    }
  }

  void Close(LinkId aLink)
  {
    const auto link = links_.find(aLink);
    if (link == links_.end()) {
      return;
    }
    if (link->second.connection) {
      server_->Disconnect(*link->second.connection);
      return;
    }
    const auto dial = dials_.find(link->second.dialled);
    if (dial != dials_.end()) {
      dial->second.openAt = clock_.Now() + kRefusedTime;
      Close(dial->second);
    }
  }

  void SayHello(LinkId aLink)
  {
    const std::string frame = EncodeFrame(EncodeMessage(handlers_.hello()));
    CountSent(HelloMessage::kKind, 1, frame.size());
    SendFrame(aLink, frame);
  }

  void OnMalformed(const std::string& aError)
  {
    ++counts_.malformed;
    Log(LogLevel::kWarning, "malformed_frame", { { "error", aError } });
  }

  void OnFrame(LinkId aLink, const nlohmann::json& aFrame)
  {
    const auto link = links_.find(aLink);
    if (link == links_.end()) {
      return;
    }
    const auto kind = WireKind(aFrame);
    if (!kind) {
      Refuse(aLink, kind.error());
      return;
    }
    if (!link->second.hello) {
      OnFirstFrame(aLink, link->second, kind.value(), aFrame);
      return;
    }
    handlers_.received(aLink, kind.value(), aFrame);
  }

  void OnFirstFrame(LinkId aLink,
                    Link& aState,
                    const std::string& aKind,
                    const nlohmann::json& aFrame)
  {
    if (aKind != HelloMessage::kKind) {
      RefuseHello(aLink, "the first frame is no hello");
      return;
    }
    auto hello = DecodeMessage<HelloMessage>(aFrame);
    if (!hello) {
      Refuse(aLink, hello.error());
      return;
    }
    const HelloMessage& peer = hello.value();
    const bool control = peer.role == WireRole::kControl;
    if (peer.deployment != handlers_.hello().deployment) {
      RefuseHello(aLink, "the peer is of deployment " + peer.deployment);
      return;
    }
    if (control && (peer.host == self_ || peer.host.empty())) {
      RefuseHello(aLink, "another controld has the same host id or none");
      return;
    }
    ++counts_.received[HelloMessage::kKind];
    aState.hello = std::move(hello).value();
    if (control) {
      controls_[aState.hello->host] = aLink;
    }
    // A peer that is refused gets no frame, so that its back-off grows.
    if (aState.connection) {
      SayHello(aLink);
    }
    handlers_.ready(aLink);
  }

  void RefuseHello(LinkId aLink, const std::string& aReason)
  {
    ++counts_.refused;
    Log(LogLevel::kWarning, "hello_refused", { { "reason", aReason } });
    Close(aLink);
  }

  asio::io_context& context_;
  const Clock& clock_;
  PeerLinksHandlers handlers_;
  HostId self_;
  PeerCounts counts_;
  LinkId lastLink_;
  std::map<LinkId, Link> links_;
  std::map<HostId, LinkId> controls_;
  std::unordered_map<ConnectionId, LinkId> accepted_;
  std::map<HostId, Dial> dials_;
  std::unique_ptr<MessageServer> server_;
};

Outcome<std::unique_ptr<PeerLinks>> PeerLinks::Make(asio::io_context& aContext,
                                                    const Clock& aClock,
                                                    const HostId& aSelf,
                                                    const Endpoint& aEndpoint,
                                                    PeerLinksHandlers aHandlers)
{
  auto impl =
    std::make_unique<Impl>(aContext, aClock, aSelf, std::move(aHandlers));
  BOOST_OUTCOME_TRY(impl->Listen(aEndpoint));
  return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(impl)));
}

PeerLinks::PeerLinks(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::Connect(const std::map<HostId, Endpoint>& aPeers)
{
  impl_->Connect(aPeers);
}

const HelloMessage* PeerLinks::HelloOf(LinkId aLink) const
{
  return impl_->HelloOf(aLink);
}

std::vector<LinkId> PeerLinks::Controls() const
{
  return impl_->Controls();
}

std::vector<LinkId> PeerLinks::Entries() const
{
  return impl_->Entries();
}

std::optional<LinkId> PeerLinks::LinkTo(const HostId& aHost) const
{
  return impl_->LinkTo(aHost);
}

void PeerLinks::SendFrame(const std::vector<LinkId>& aLinks,
                          const char* aKind,
                          const std::string& aFrame)
{
  impl_->CountSent(aKind, aLinks.size(), aFrame.size());
  for (const LinkId link : aLinks) {
    impl_->SendFrame(link, aFrame);
  }
}

void PeerLinks::Refuse(LinkId aLink, const Error& aError)
{
  impl_->Refuse(aLink, aError);
}

void PeerLinks::CountUnknownKind()
{
  ++impl_->Counts().unknownKinds;
}

void PeerLinks::CountReceived(const char* aKind)
{
  ++impl_->Counts().received[aKind];
}

const PeerCounts& PeerLinks::Counts() const
{
  return impl_->Counts();
}

} // namespace lacewing
