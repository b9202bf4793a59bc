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

  /** The field that tells a target the request's id and that it repeats. */
  static HttpField IdField(std::string aRequestId);

  /** aFields with the request's id and aRemaining, the time left. */
  static HttpFields FieldsForTarget(HttpFields aFields,
                                    const HttpField& aId,
                                    Duration aRemaining);

private:
  EntryLimits limits_;
};

} // namespace lacewing

#endif // ENTRY_REQUESTTRANSLATOR_H
