#include "support/TestGateway.h"

using namespace lacewing;

namespace {

// More than the buffers of the sockets hold, so that the target's answer
// arrives while the request is being written.
const std::string kLongBody(8U << 20U, 'u');

CallerLimits LimitsForUploads()
{
  CallerLimits limits;
  limits.maxBody = ByteCount(16U << 20U);
  return limits;
}

/** What a caller gets for aUpload, which aBytes answer before it is read. */
std::string AnswerToUpload(const std::string& aBytes,
                           const std::string& aUpload = kLongBody)
{
  GatewayTarget target(
    [&](const std::string& aId, int) {
      std::string bytes = aBytes;
      return bytes.insert(bytes.find('\n') + 1,
                          "Test-Signature: s\r\nTest-Id: " + aId + "\r\n");
    },
    ScriptedTarget::ReadsFirst::kHead);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerLimits(LimitsForUploads());
  std::string answer = gateway.Call("POST", "/upload/x", "r1", aUpload);
  CHECK(target.Runs() == 1);
  return answer;
}

} // namespace

// Guards against a part of an answer that is delivered as the whole: a target
// answers an upload without a length and resets the connection while the upload
// is being written.
TEST_CASE("gateway: an answer without a length is not whole after a reset")
{
  const std::string delay = ScriptedTarget::kDelayMarker;
  for (const char* head : { "HTTP/1.1 200 OK\r\n\r\n0123456789",
                            "HTTP/1.1 200 OK\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n01",
                            "HTTP/1.1 404 Not Found\r\n\r\n0123456789" }) {
    for (const std::string& end : { std::string(ScriptedTarget::kResetMarker),
                                    std::string(ScriptedTarget::kCloseMarker),
                                    delay + ScriptedTarget::kResetMarker,
                                    delay + ScriptedTarget::kCloseMarker }) {
      CAPTURE(head);
      CAPTURE(end.size());
      CHECK(StatusOf(AnswerToUpload(head + end)) == 502);
    }
  }
}

// Guards against the same fault where the reset may come before, while or after
// the last bytes of the upload are written.
TEST_CASE("gateway: a reset right behind a short upload ends no answer")
{
  const std::string upload(100000, 'u');
  for (int i = 0; i < 40; ++i) {
    CHECK(
      StatusOf(AnswerToUpload(std::string("HTTP/1.1 200 OK\r\n\r\n0123456789") +
                                ScriptedTarget::kResetMarker,
                              upload)) == 502);
  }
}

// Guards against refusing such an answer when the target closes its sending
// side in order and reads on.
TEST_CASE("gateway: an answer without a length to an upload ends in order")
{
  const std::string answer =
    AnswerToUpload(std::string("HTTP/1.1 200 OK\r\n\r\n0123456789") +
                   ScriptedTarget::kEndMarker);
  CHECK(StatusOf(answer) == 200);
  CHECK(answer.find("Content-Length: 10\r\n") != std::string::npos);
  CHECK(answer.find("0123456789") != std::string::npos);
}
