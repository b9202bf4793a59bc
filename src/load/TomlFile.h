#ifndef LOAD_TOMLFILE_H
#define LOAD_TOMLFILE_H

#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing {

/** Reads a TOML file as JSON, for files with tables and arrays in them. */
Outcome<nlohmann::json> ReadTomlFile(const std::string& aPath);

} // namespace lacewing

#endif // LOAD_TOMLFILE_H
