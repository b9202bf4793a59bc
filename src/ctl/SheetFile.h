#ifndef CTL_SHEETFILE_H
#define CTL_SHEETFILE_H

#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Reads a sheet of bounded size; fails with kInvalidSheet or kTooLarge. */
Outcome<std::string> ReadSheetText(const std::string& aPath);

} // namespace lacewing

#endif // CTL_SHEETFILE_H
