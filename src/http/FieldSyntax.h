#ifndef HTTP_FIELDSYNTAX_H
#define HTTP_FIELDSYNTAX_H

#include <string_view>

namespace lacewing {

/** Whether a field may have this name: a token of RFC 9110 section 5.6.2. */
bool IsFieldName(std::string_view aName);

/**
 * Whether a field may have this value by RFC 9110 section 5.5: no control bytes
 * but tabs. Blanks at its ends are not looked at.
 */
bool IsFieldValue(std::string_view aValue);

} // namespace lacewing

#endif // HTTP_FIELDSYNTAX_H
