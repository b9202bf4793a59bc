#ifndef HTTP_MESSAGEBYTES_H
#define HTTP_MESSAGEBYTES_H

#include "http/HttpHead.h"

#include <cstddef>
#include <string>

namespace lacewing {

/**
 * The head of a request as sent, up to the empty line. Content-Length is
 * added when there is a body or the method usually has one.
 */
std::string RequestHeadBytes(const HttpHead& aHead, std::size_t aBodySize);

/**
 * The head of an answer as sent. Content-Length is aBodySize, left out where
 * the status has no body; Connection follows aHead.keepAlive.
 */
std::string AnswerHeadBytes(const HttpHead& aHead, std::size_t aBodySize);

/** Whether an answer with this status never has a body. */
bool StatusHasNoBody(unsigned aStatus);

} // namespace lacewing

#endif // HTTP_MESSAGEBYTES_H
