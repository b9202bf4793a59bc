#ifndef QUOTA_TOKENCOUNT_H
#define QUOTA_TOKENCOUNT_H

#include "lacewing/StrongNumber.h"

#include <cstdint>

namespace lacewing {

/** A number of tokens, each of which allows one attempt. */
using TokenCount = StrongNumber<struct TokenCountTag, std::uint32_t>;

} // namespace lacewing

#endif // QUOTA_TOKENCOUNT_H
