#include "fleet/RolloutDatagrams.h"

#include "fleet/PeerCodec.h"

#include <utility>

namespace lacewing {

namespace {

/** Adds entries to a heartbeat until the datagram would become too large. */
class DatagramPacker
{
public:
  explicit DatagramPacker(PeerHeartbeat aBase)
    : heartbeat_(std::move(aBase))
  {
  }

  template<class Entry>
  void Add(std::vector<Entry> PeerHeartbeat::*aList, const Entry& aEntry)
  {
    (heartbeat_.*aList).push_back(aEntry);
    std::string larger = EncodeHeartbeat(heartbeat_);
    if (larger.size() > kMaxDatagram && !encoded_.empty()) {
      Flush();
      (heartbeat_.*aList).push_back(aEntry);
      larger = EncodeHeartbeat(heartbeat_);
    }
    encoded_ = std::move(larger);
  }

  std::vector<std::string> Finish()
  {
    Flush();
    return std::move(datagrams_);
  }

private:
  void Flush()
  {
    if (!encoded_.empty()) {
      datagrams_.push_back(std::exchange(encoded_, {}));
    }
    heartbeat_.evidence.clear();
    heartbeat_.directives.clear();
  }

  PeerHeartbeat heartbeat_;
  /** The heartbeat with the entries that fit; empty without any. */
  std::string encoded_;
  std::vector<std::string> datagrams_;
};

} // namespace

std::vector<std::string> EncodeRollouts(
  PeerHeartbeat aBase,
  const std::vector<RolloutEvidence>& aEvidence,
  const std::vector<RolloutDirective>& aDirectives)
{
  DatagramPacker packer(std::move(aBase));
  for (const RolloutDirective& directive : aDirectives) {
    packer.Add(&PeerHeartbeat::directives, directive);
  }
  for (const RolloutEvidence& evidence : aEvidence) {
    packer.Add(&PeerHeartbeat::evidence, evidence);
  }
  return packer.Finish();
}

} // namespace lacewing
