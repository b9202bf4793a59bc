#ifndef CONTROL_PEERLINKSHANDLERS_H
#define CONTROL_PEERLINKSHANDLERS_H

#include "control/LinkId.h"
#include "wire/HelloMessage.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace lacewing {

/** What PeerLinks calls, on the thread of its io_context. */
struct PeerLinksHandlers
{
  /** Makes the own hello at this moment. */
  std::function<HelloMessage()> hello;
  /** Both sides have said hello. */
  std::function<void(LinkId)> ready;
  /** A frame of version 1 on a ready link, with its kind. */
  std::function<void(LinkId, const std::string&, const nlohmann::json&)>
    received;
  /** A ready link was closed. */
  std::function<void(LinkId)> closed;
};

} // namespace lacewing

#endif // CONTROL_PEERLINKSHANDLERS_H
