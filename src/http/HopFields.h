#ifndef HTTP_HOPFIELDS_H
#define HTTP_HOPFIELDS_H

#include "http/HttpFields.h"

namespace lacewing {

/**
 * Keeps the fields that pass through a proxy: without the hop-by-hop fields
 * of RFC 9110 section 7.6.1, those that Connection names, and Content-Length
 * and Expect, which each hop sets anew.
 */
HttpFields EndToEndFields(HttpFields aFields);

} // namespace lacewing

#endif // HTTP_HOPFIELDS_H
