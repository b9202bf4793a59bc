#include "config/SheetProblem.h"

namespace lacewing {

std::string SheetProblem::ToString() const
{
  std::string text = "row " + std::to_string(row.value());
  if (!column.empty()) {
    text += ", column " + column;
  }
  return text + ": found " + found + "; " + remedy;
}

} // namespace lacewing
