#ifndef CORE_JSONPROPERTY_H
#define CORE_JSONPROPERTY_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/Endpoint.h"
#include "lacewing/ServiceId.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

#include <cstdint>
#include <string>
#include <variant>

namespace lacewing {

/** One member of Owner under its JSON name; durations are milliseconds. */
template<class Owner>
struct JsonProperty
{
  using Member = std::variant<bool Owner::*,
                              double Owner::*,
                              std::uint32_t Owner::*,
                              std::uint64_t Owner::*,
                              std::string Owner::*,
                              Duration Owner::*,
                              SlotCount Owner::*,
                              ConnectionCount Owner::*,
                              ByteCount Owner::*,
                              Endpoint Owner::*,
                              ServiceId Owner::*,
                              TargetId Owner::*,
                              ZoneId Owner::*>;

  const char* name;
  Member member;
};

} // namespace lacewing

#endif // CORE_JSONPROPERTY_H
