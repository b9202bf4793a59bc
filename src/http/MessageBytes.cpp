#include "http/MessageBytes.h"

#include <http_parser.h>

namespace lacewing {

namespace {

void AppendFields(std::string& aBytes, const HttpFields& aFields)
{
  for (const HttpField& field : aFields) {
    aBytes += field.name;
    aBytes += ": ";
    aBytes += field.value;
    aBytes += "\r\n";
  }
}

void AppendLength(std::string& aBytes, std::size_t aBodySize)
{
  aBytes += "Content-Length: ";
  aBytes += std::to_string(aBodySize);
  aBytes += "\r\n";
}

bool UsuallyHasBody(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

} // namespace

bool StatusHasNoBody(unsigned aStatus)
{
  return aStatus / 100 == 1 || aStatus == 204 || aStatus == 304;
}

std::string RequestHeadBytes(const HttpHead& aHead, std::size_t aBodySize)
{
  std::string bytes = aHead.method + ' ' + aHead.target + " HTTP/1.1\r\n";
  AppendFields(bytes, aHead.fields);
  if (aBodySize > 0 || UsuallyHasBody(aHead.method)) {
    AppendLength(bytes, aBodySize);
  }
  bytes += "\r\n";
  return bytes;
}

std::string AnswerHeadBytes(const HttpHead& aHead, std::size_t aBodySize)
{
  std::string bytes = "HTTP/1.1 " + std::to_string(aHead.status) + ' ';
  bytes += http_status_str(static_cast<http_status>(aHead.status));
  bytes += "\r\n";
  AppendFields(bytes, aHead.fields);
  if (!StatusHasNoBody(aHead.status)) {
    AppendLength(bytes, aBodySize);
  }
  bytes += aHead.keepAlive ? "Connection: keep-alive\r\n\r\n"
                           : "Connection: close\r\n\r\n";
  return bytes;
}

} // namespace lacewing
