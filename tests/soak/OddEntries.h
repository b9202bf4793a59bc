#ifndef TESTS_SOAK_ODDENTRIES_H
#define TESTS_SOAK_ODDENTRIES_H

#include <random>
#include <string>

namespace lacewing {

/**
 * Text of a server's entry as another writer may leave it: not to be read, or
 * naming no server to use.
 */
std::string MakeOddEntry(std::mt19937_64& aRandom);

} // namespace lacewing

#endif // TESTS_SOAK_ODDENTRIES_H
