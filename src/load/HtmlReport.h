#ifndef LOAD_HTMLREPORT_H
#define LOAD_HTMLREPORT_H

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing {

/** The results of a run as one HTML page with charts over time. */
std::string MakeHtmlReport(const nlohmann::json& aResult);

} // namespace lacewing

#endif // LOAD_HTMLREPORT_H
