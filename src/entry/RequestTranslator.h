#ifndef ENTRY_REQUESTTRANSLATOR_H
#define ENTRY_REQUESTTRANSLATOR_H

#include "entry/EntryLimits.h"
#include "entry/RefusalReason.h"
#include "entry/TranslatedRequest.h"
#include "net/HttpRequest.h"

#include <variant>

namespace lacewing {

/** Turns callers' requests into what the engine and the targets need. */
class RequestTranslator
{
public:
  explicit RequestTranslator(const EntryLimits& aLimits)
    : limits_(aLimits)
  {
  }

  std::variant<TranslatedRequest, RefusalReason> Translate(
    const HttpRequest& aRequest) const;

  /** aFields without hop-by-hop fields, with ours; aRemaining is the time
   * left. */
  static HttpFields FieldsForTarget(HttpFields aFields,
                                    const std::string& aRequestId,
                                    Duration aRemaining);

private:
  EntryLimits limits_;
};

} // namespace lacewing

#endif // ENTRY_REQUESTTRANSLATOR_H
