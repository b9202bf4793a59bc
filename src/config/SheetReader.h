#ifndef CONFIG_SHEETREADER_H
#define CONFIG_SHEETREADER_H

#include "config/Configuration.h"
#include "config/SheetProblem.h"
#include "lacewing/Outcome.h"

#include <string_view>

namespace lacewing {

/** Either a configuration or all problems of the sheet. */
using SheetOutcome = outcome::
  basic_result<Configuration, SheetProblems, outcome::policy::all_narrow>;

/**
 * Reads the operators' sheet: one row per service, zone, host or target, as
 * the column "kind" says, with the columns that this kind needs in any order.
 * The result has no version. Nothing is returned unless every row is right.
 */
SheetOutcome ReadSheet(std::string_view aText);

} // namespace lacewing

#endif // CONFIG_SHEETREADER_H
