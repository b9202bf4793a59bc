#ifndef TESTS_SUPPORT_DEPLOYMENTOPTIONS_H
#define TESTS_SUPPORT_DEPLOYMENTOPTIONS_H

#include <cstddef>
#include <string>

namespace lacewing {

/** Size of a Deployment and behaviour of its targets. */
struct DeploymentOptions
{
  std::size_t hosts = 5;
  std::size_t zones = 3;
  std::size_t targetsPerZone = 3;
  /** Properties of the stand-in targets. */
  std::string targetProperties =
    "slots=3,service_time=exponential,service_ms=5,connect_ms=1,cold_ms=1000,"
    "cold_limit=1";
  /** Columns from "slots" on of the service's row in the sheet. */
  std::string serviceColumns = "3,100,GET HEAD,2 s,1 %,1,1 s,1 s";
};

} // namespace lacewing

#endif // TESTS_SUPPORT_DEPLOYMENTOPTIONS_H
