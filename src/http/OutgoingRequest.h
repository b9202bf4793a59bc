#ifndef HTTP_OUTGOINGREQUEST_H
#define HTTP_OUTGOINGREQUEST_H

#include "http/AnswerMatch.h"
#include "http/HttpHead.h"

#include <functional>
#include <memory>
#include <string>

namespace lacewing {

/** A request to send on a client connection. */
struct OutgoingRequest
{
  HttpHead head;
  /** Null for none; shared so that a second sending needs no copy. */
  std::shared_ptr<const std::string> body;
  /**
   * Says whether an answer's head belongs to this request; foreign ones are
   * read and dropped. Empty takes every answer as certain.
   */
  std::function<AnswerMatch(const HttpHead&)> match;
};

} // namespace lacewing

#endif // HTTP_OUTGOINGREQUEST_H
