#ifndef LOAD_RESULTTABLE_H
#define LOAD_RESULTTABLE_H

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing {

/** The results of LoadResult::ToJson as a text table, a phase a row. */
std::string MakeResultTable(const nlohmann::json& aResult);

/** The ratios of aSecond to aFirst, a phase a row; phases match by place. */
std::string MakeComparison(const nlohmann::json& aFirst,
                           const nlohmann::json& aSecond);

} // namespace lacewing

#endif // LOAD_RESULTTABLE_H
