#ifndef LOAD_EXPECTEDANSWER_H
#define LOAD_EXPECTEDANSWER_H

#include "net/HttpCallResult.h"

#include <memory>
#include <string>

namespace lacewing {

/** The parts of a request from which its target makes the answer. */
struct ExpectedAnswer
{
  std::string method;
  /** Path and query as the target sees them. */
  std::string target;
  std::shared_ptr<const std::string> requestBody;
  /** The answer comes from a target itself and has no Lacewing-Outcome. */
  bool direct = false;
};

} // namespace lacewing

#endif // LOAD_EXPECTEDANSWER_H
