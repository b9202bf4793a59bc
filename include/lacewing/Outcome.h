#ifndef LACEWING_OUTCOME_H
#define LACEWING_OUTCOME_H

#include "lacewing/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace lacewing {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** Either a value or an Error; reading the wrong one is a program error. */
template<class T>
using Outcome = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

/** Makes the failure side of an Outcome. */
inline auto Fail(ErrorKind aKind, std::string aWhat, std::string aRemedy)
{
  return outcome::failure(Error{ aKind, std::move(aWhat), std::move(aRemedy) });
}

} // namespace lacewing

#endif // LACEWING_OUTCOME_H
