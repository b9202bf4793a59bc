#include "soak/SoakNetwork.h"

#include <unistd.h>

namespace lacewing {

namespace {

// Blocks start at 127.16.0 because many machines use the lower ones.
constexpr int kFirstBlock = 16;
constexpr int kBlocks = 230;
constexpr int kSubBlocks = 250;
constexpr std::uint16_t kFirstPort = 20000;

} // namespace

SoakNetwork::SoakNetwork()
  : block_("127." + std::to_string(kFirstBlock + getpid() % kBlocks) + "." +
           std::to_string(getpid() / kBlocks % kSubBlocks) + ".")
  , lastPort_(kFirstPort)
{
}

std::string SoakNetwork::HostAddress(std::size_t aIndex) const
{
  return block_ + std::to_string(aIndex + 1);
}

Endpoint SoakNetwork::Next()
{
  return { block_ + "250", ++lastPort_ };
}

} // namespace lacewing
