#ifndef CATALOG_HOSTKEY_H
#define CATALOG_HOSTKEY_H

#include <string>
#include <string_view>

namespace lacewing {

/** The form in which hosts' names are compared: lower case, without a port. */
std::string HostKey(std::string_view aHost);

} // namespace lacewing

#endif // CATALOG_HOSTKEY_H
