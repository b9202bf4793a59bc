#ifndef TESTS_SUPPORT_CHECKPROPERTY_H
#define TESTS_SUPPORT_CHECKPROPERTY_H

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <string>

namespace lacewing {

/** Whether a failure is printed, or expected because a fault is planted. */
enum class Report
{
  kPrint,
  kQuiet,
};

/**
 * Whether a rapidcheck property holds for aRuns cases made from a fixed seed.
 * A failure prints the seed and the smallest failing case.
 */
template<class Property>
bool Holds(const std::string& aName,
           std::uint64_t aSeed,
           int aRuns,
           int aSize,
           Property aProperty,
           Report aReport = Report::kPrint)
{
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  metadata.description = aName;
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aRuns;
  params.maxSize = aSize;
  params.disableShrinking = aReport == Report::kQuiet;
  const auto result = rc::detail::checkTestable(aProperty, metadata, params);
  const bool holds = result.template is<rc::detail::SuccessResult>();
  if (!holds && aReport == Report::kPrint) {
    std::cerr << aName << ", seed " << aSeed << "\n";
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\n";
  }
  return holds;
}

} // namespace lacewing

#endif // TESTS_SUPPORT_CHECKPROPERTY_H
