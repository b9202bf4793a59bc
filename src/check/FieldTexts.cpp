#include "check/FieldTexts.h"

#include "core/UnitText.h"

#include <fmt/format.h>

namespace lacewing {

namespace {

const char* ClassText(RequestClass aClass)
{
  switch (aClass) {
    case RequestClass::kIdempotent:
      return "idempotent";
    case RequestClass::kNonIdempotent:
      return "at most once";
    case RequestClass::kUpload:
      return "upload, at most once";
  }
  return "";
}

std::string SharesText(const std::vector<ServiceShare>& aShares)
{
  std::string text;
  for (const ServiceShare& share : aShares) {
    text += fmt::format("{}{}:{:g}",
                        text.empty() ? "" : " ",
                        share.service.value(),
                        share.weight);
  }
  return text;
}

std::string PriorityText(Priority aPriority)
{
  return std::to_string(aPriority.value());
}

} // namespace

FieldTexts FieldsOf(const RouteSpec& aRoute)
{
  return { { "host", aRoute.host },
           { "prefix", aRoute.pathPrefix },
           { "requests", ClassText(aRoute.requestClass) },
           { "timeout", FormatDuration(aRoute.timeout) },
           { "latency objective", FormatDuration(aRoute.latencyObjective) },
           { "attempts", std::to_string(aRoute.maxAttempts) },
           { "priority", PriorityText(aRoute.priority) },
           { "public", aRoute.isPublic ? "yes" : "no" },
           { "services", SharesText(aRoute.shares) } };
}

FieldTexts FieldsOf(const ServiceSpec& aService)
{
  return { { "health path", aService.healthPath },
           { "connections",
             aService.maxConnections
               ? std::to_string(aService.maxConnections->value())
               : std::string("no limit") },
           { "warm-up time", FormatDuration(aService.warmUp) },
           { "warm-up rate", fmt::format("{:g}", aService.warmUpRate) } };
}

FieldTexts FieldsOf(const CallerLimits& aLimits)
{
  return { { "head", FormatByteCount(aLimits.maxHead) },
           { "body", FormatByteCount(aLimits.maxBody) },
           { "header timeout", FormatDuration(aLimits.headTimeout) },
           { "idle timeout", FormatDuration(aLimits.idleTimeout) } };
}

FieldTexts FieldsOf(const CustomerSpec& aCustomer)
{
  return { { "priority", PriorityText(aCustomer.priority) },
           { "rate", fmt::format("{:g}", aCustomer.limit.perSecond) },
           { "burst", fmt::format("{:g}", aCustomer.limit.burst) } };
}

} // namespace lacewing
