#ifndef CONFIG_CONFIGCHANGE_H
#define CONFIG_CONFIGCHANGE_H

#include "config/ChangeKind.h"
#include "config/FieldChange.h"
#include "config/ObjectKind.h"

#include <string>
#include <vector>

namespace lacewing {

/** What happens to one service, zone, host or target. */
struct ConfigChange
{
  ChangeKind kind = ChangeKind::kChanged;
  ObjectKind object = ObjectKind::kService;
  std::string id;
  /** All fields of an added or removed object, the differing ones else. */
  std::vector<FieldChange> fields;

  /** One line: "target t1: changed: state from in-service to out". */
  std::string ToString() const;
};

} // namespace lacewing

#endif // CONFIG_CONFIGCHANGE_H
