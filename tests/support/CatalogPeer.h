#ifndef TESTS_SUPPORT_CATALOGPEER_H
#define TESTS_SUPPORT_CATALOGPEER_H

#include "catalog/CatalogReplica.h"
#include "fleet/CatalogPullServer.h"
#include "fleet/PeerCodec.h"
#include "http/SmallHttpServer.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/**
 * A peer that the test plays: it sends heartbeats with the positions of its
 * catalog. Others can connect to it, but it answers no pull until Serve().
 */
class CatalogPeer
{
public:
  CatalogPeer(asio::io_context& aContext,
              const std::string& aName,
              const std::string& aZone = "z")
    : context_(aContext)
    , acceptor_(aContext, { asio::ip::address_v4::loopback(), 0 })
    , address_{ HostId(aName),
                ZoneId(aZone),
                "127.0.0.1",
                acceptor_.local_endpoint().port() }
  {
    socket_.non_blocking(true);
  }

  /** Reads the datagrams that have arrived since the last call. */
  void ReadDatagrams()
  {
    std::array<char, 2048> bytes{};
    asio::error_code error;
    for (;;) {
      const std::size_t size = socket_.receive(asio::buffer(bytes), 0, error);
      if (error) {
        return;
      }
      const auto heartbeat = DecodeHeartbeat({ bytes.data(), size });
      if (heartbeat) {
        heard = heartbeat.value().positions;
      }
    }
  }

  /** Answers pulls from now on. */
  void Serve()
  {
    acceptor_.close();
    server_ = SmallHttpServer::Make(
                context_,
                address_.ToEndpoint(),
                [this](const HttpMessage& aRequest, auto aRespond) {
                  ++pulls;
                  aRespond(pulls_.HandleRequest(aRequest, replica_));
                })
                .value();
  }

  /** Receives a configuration, as from the store, that is at aRevision. */
  void Learn(Revision aRevision)
  {
    CatalogChanges changes;
    changes.position = { StoreEra(), aRevision };
    CatalogItem item;
    item.name = "main";
    item.position = changes.position;
    item.body = "{}";
    changes.items.push_back(std::move(item));
    replica_.Apply(CatalogKind::kConfiguration, changes);
  }

  void SendHeartbeat(std::uint16_t aPort)
  {
    PeerHeartbeat heartbeat;
    heartbeat.from = address_;
    heartbeat.incarnation = Incarnation(1);
    heartbeat.storeOk = true;
    for (const CatalogKind kind : kCatalogKinds) {
      heartbeat.positions.push_back(replica_.PositionOf(kind));
    }
    heartbeat.zones = zones;
    socket_.send_to(asio::buffer(EncodeHeartbeat(heartbeat)),
                    { asio::ip::address_v4::loopback(), aPort });
  }

  /** What a speaker of another zone says of its zone. */
  std::vector<ZoneDigest> zones;
  /** The positions in the last datagram. */
  std::vector<StorePosition> heard;
  int pulls = 0;

private:
  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::udp::socket socket_{ context_,
                                 { asio::ip::address_v4::loopback(),
                                   acceptor_.local_endpoint().port() } };
  CatalogPullServer pulls_;
  CatalogReplica replica_;
  const PeerAddress address_;
  std::unique_ptr<SmallHttpServer> server_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CATALOGPEER_H
