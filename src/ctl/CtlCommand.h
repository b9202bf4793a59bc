#ifndef CTL_CTLCOMMAND_H
#define CTL_CTLCOMMAND_H

#include <cstddef>

namespace lacewing {

class Ctl;

/** One command of lacewingctl. */
struct CtlCommand
{
  const char* name;
  /** Shown in the usage, as "SHEET.csv". */
  const char* arguments;
  std::size_t argumentCount;
  const char* summary;
  /** Complete command lines, one a line. */
  const char* examples;
  void (Ctl::*run)();
};

} // namespace lacewing

#endif // CTL_CTLCOMMAND_H
