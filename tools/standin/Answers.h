#ifndef STANDIN_ANSWERS_H
#define STANDIN_ANSWERS_H

#include "lacewing/Error.h"
#include "net/HttpResponse.h"

#include <nlohmann/json.hpp>

namespace lacewing {

/** An answer without a body. */
HttpResponse StatusAnswer(int aStatus);

HttpResponse JsonAnswer(const nlohmann::json& aJson);

/** A 400 with the error's text. */
HttpResponse BadRequestAnswer(const Error& aError);

} // namespace lacewing

#endif // STANDIN_ANSWERS_H
