#ifndef HTTP_BODYFRAMING_H
#define HTTP_BODYFRAMING_H

#include "http/HttpFields.h"

namespace lacewing {

/**
 * Whether the fields of an answer's head say in one way only where its body
 * ends (RFC 9112 section 6.3), and the body has no coding that is not undone
 * here: "chunked" as the only transfer coding, or at most one Content-Length.
 */
bool HasClearFraming(const HttpFields& aFields);

} // namespace lacewing

#endif // HTTP_BODYFRAMING_H
