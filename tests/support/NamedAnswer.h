#ifndef TESTS_SUPPORT_NAMEDANSWER_H
#define TESTS_SUPPORT_NAMEDANSWER_H

#include <string>

namespace lacewing {

/** The bytes of an answer and what is special about them. */
struct NamedAnswer
{
  std::string name;
  std::string bytes;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_NAMEDANSWER_H
