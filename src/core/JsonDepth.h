#ifndef CORE_JSONDEPTH_H
#define CORE_JSONDEPTH_H

#include <cstddef>
#include <string_view>

namespace lacewing {

/** How deeply the arrays and objects of a JSON text are nested. */
std::size_t JsonDepth(std::string_view aText);

} // namespace lacewing

#endif // CORE_JSONDEPTH_H
