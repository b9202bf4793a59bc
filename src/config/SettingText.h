#ifndef CONFIG_SETTINGTEXT_H
#define CONFIG_SETTINGTEXT_H

#include "config/ServiceField.h"
#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/**
 * Sets one setting of a service from text with its unit. Fails with
 * kInvalidArgument, the remedy naming the form or the range.
 */
Outcome<void> ParseSetting(const ServiceField& aField,
                           const std::string& aText,
                           ServiceConfig& aService);

/** The setting as ParseSetting reads it. */
std::string FormatSetting(const ServiceField& aField,
                          const ServiceConfig& aService);

} // namespace lacewing

#endif // CONFIG_SETTINGTEXT_H
