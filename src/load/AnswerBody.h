#ifndef LOAD_ANSWERBODY_H
#define LOAD_ANSWERBODY_H

#include "lacewing/ByteCount.h"

#include <string>
#include <string_view>

namespace lacewing {

/** Size of an answer whose request names none, and the largest size. */
inline constexpr ByteCount kDefaultAnswerSize{ 64 };
inline constexpr ByteCount kMaxAnswerSize{ 8U << 20U };

/** The size that "bytes=N" in the query of aTarget asks for. */
ByteCount AnswerSize(std::string_view aTarget);

/**
 * The body with which a stand-in target answers a request. It depends on the
 * method, on path and query, and on the request's body, so that an answer to
 * another request is recognised.
 */
std::string MakeAnswerBody(std::string_view aMethod,
                           std::string_view aTarget,
                           std::string_view aRequestBody);

} // namespace lacewing

#endif // LOAD_ANSWERBODY_H
