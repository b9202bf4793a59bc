#ifndef LOAD_REQUESTFACTORY_H
#define LOAD_REQUESTFACTORY_H

#include "load/LoadExperiment.h"
#include "load/LoadRequest.h"

#include <cstdint>
#include <random>
#include <string>

namespace lacewing {

/** Makes the requests of one thread in the proportions of the mix. */
class RequestFactory
{
public:
  /** aIdPrefix distinguishes the thread and the run. */
  RequestFactory(const LoadExperiment& aExperiment, std::string aIdPrefix);

  LoadRequest Make(std::mt19937_64& aEngine);

private:
  const LoadExperiment& experiment_;
  const std::string idPrefix_;
  std::discrete_distribution<std::size_t> mix_;
  std::uint64_t made_ = 0;
};

} // namespace lacewing

#endif // LOAD_REQUESTFACTORY_H
