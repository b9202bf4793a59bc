#ifndef TESTS_SUPPORT_FREEPORTS_H
#define TESTS_SUPPORT_FREEPORTS_H

#include "lacewing/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewing {

/**
 * Ports that the kernel gave. They stay bound, without listening, until this
 * is destroyed, so that the kernel gives them to nobody else; a server that
 * sets SO_REUSEADDR, as ours do, can listen on them meanwhile.
 */
class FreePorts
{
public:
  explicit FreePorts(std::size_t aCount);
  ~FreePorts();
  FreePorts(const FreePorts&) = delete;
  FreePorts& operator=(const FreePorts&) = delete;

  std::uint16_t Port(std::size_t aIndex) const { return ports_.at(aIndex); }

  /** The port at an address of 127.0.0.0/8. */
  Endpoint At(std::size_t aIndex,
              const std::string& aAddress = "127.0.0.1") const
  {
    return { aAddress, Port(aIndex) };
  }

private:
  std::vector<int> sockets_;
  std::vector<std::uint16_t> ports_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_FREEPORTS_H
