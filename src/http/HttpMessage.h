#ifndef HTTP_HTTPMESSAGE_H
#define HTTP_HTTPMESSAGE_H

#include "core/BufferCharge.h"
#include "http/HttpHead.h"

#include <memory>
#include <string>

namespace lacewing {

/** A whole request or answer; the body is without transfer coding. */
struct HttpMessage
{
  HttpHead head;
  std::string body;
  /** The body's share of ParserLimits::budget; null without one. */
  std::shared_ptr<BufferCharge> charge = nullptr;
};

} // namespace lacewing

#endif // HTTP_HTTPMESSAGE_H
