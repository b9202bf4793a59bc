#ifndef LOAD_RUNCHECKINPUT_H
#define LOAD_RUNCHECKINPUT_H

#include <string>
#include <vector>

namespace lacewing {

/** Files of one experiment that are compared with each other. */
struct RunCheckInput
{
  /** Written by --json of the load tool. */
  std::string result;
  /** Written by --records of the load tool. */
  std::string records;
  /** Answers of /runs of the stand-in targets, one file a group of targets. */
  std::vector<std::string> runs;
  /** Answers of /stats of the stand-in targets. */
  std::vector<std::string> stats;
};

} // namespace lacewing

#endif // LOAD_RUNCHECKINPUT_H
