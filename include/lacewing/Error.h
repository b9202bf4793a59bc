#ifndef LACEWING_ERROR_H
#define LACEWING_ERROR_H

#include "lacewing/ErrorKind.h"

#include <string>

namespace lacewing {

/** A failure: its kind, what was found, and what the reader can do. */
struct Error
{
  ErrorKind kind = ErrorKind::kInternal;
  std::string what;
  std::string remedy;

  /** One line: "kind: what; remedy". */
  std::string ToString() const;
};

} // namespace lacewing

#endif // LACEWING_ERROR_H
