#ifndef ENTRY_ANSWERWRITER_H
#define ENTRY_ANSWERWRITER_H

#include "decision/AttemptAnswer.h"
#include "decision/FinishRequest.h"
#include "entry/RefusalReason.h"
#include "net/HttpResponse.h"

namespace lacewing {

/** The target's answer as the caller gets it. */
HttpResponse WriteTargetAnswer(HttpResponse aAnswer);

/** The answer to a request that no target answered. */
HttpResponse WriteOwnAnswer(const FinishRequest& aFinish);
HttpResponse WriteRefusal(RefusalReason aReason);

/** What a target's fields tell the engine. */
AttemptAnswer ReadTargetAnswer(const HttpResponse& aAnswer);

} // namespace lacewing

#endif // ENTRY_ANSWERWRITER_H
