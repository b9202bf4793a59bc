#include "support/FreePorts.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewing {

FreePorts::FreePorts(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockets_.push_back(fd);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("the kernel gave no free port");
    }
    ports_.push_back(ntohs(address.sin_port));
  }
}

FreePorts::~FreePorts()
{
  for (const int fd : sockets_) {
    close(fd);
  }
}

} // namespace lacewing
