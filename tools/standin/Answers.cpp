#include "standin/Answers.h"

namespace lacewing {

HttpResponse StatusAnswer(int aStatus)
{
  HttpResponse response;
  response.status = aStatus;
  return response;
}

HttpResponse JsonAnswer(const nlohmann::json& aJson)
{
  HttpResponse response;
  response.fields.Add("Content-Type", "application/json");
  response.body = aJson.dump();
  return response;
}

HttpResponse BadRequestAnswer(const Error& aError)
{
  HttpResponse response = StatusAnswer(400);
  response.body = aError.ToString() + "\n";
  return response;
}

} // namespace lacewing
