#include "load/RequestFactory.h"

#include <utility>
#include <vector>

namespace lacewing {

namespace {

std::vector<double> WeightsOf(const LoadExperiment& aExperiment)
{
  std::vector<double> weights;
  for (const RequestKind& kind : aExperiment.kinds) {
    weights.push_back(kind.weight);
  }
  return weights;
}

/** A body that differs from request to request. */
std::shared_ptr<const std::string> MakeBody(const std::string& aId,
                                            ByteCount aSize)
{
  auto body = std::make_shared<std::string>();
  body->reserve(aSize.value());
  while (body->size() < aSize.value()) {
    body->append(aId, 0, aSize.value() - body->size());
  }
  return body;
}

std::chrono::milliseconds InMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

} // namespace

RequestFactory::RequestFactory(const LoadExperiment& aExperiment,
                               std::string aIdPrefix)
  : experiment_(aExperiment)
  , idPrefix_(std::move(aIdPrefix))
{
  const std::vector<double> weights = WeightsOf(aExperiment);
  mix_ = { weights.begin(), weights.end() };
}

LoadRequest RequestFactory::Make(std::mt19937_64& aEngine)
{
  LoadRequest request;
  request.kind = mix_(aEngine);
  request.id = idPrefix_ + std::to_string(++made_);
  const RequestKind& kind = experiment_.kinds[request.kind];
  const bool direct = experiment_.settings.direct;
  const char* separator = kind.path.find('?') == std::string::npos ? "?" : "&";
  request.expected.target = kind.path + separator + "id=" + request.id +
                            "&bytes=" + std::to_string(kind.answer.value());
  request.expected.method = kind.method;
  request.expected.direct = direct;
  HttpCall& call = request.call;
  call.method = kind.method;
  call.target = direct ? request.expected.target
                       : "/" + kind.service.value() + request.expected.target;
  // A request without a body that is not idempotent would take a new
  // connection each time, so only methods that callers may repeat are.
  call.idempotent = kind.method == "GET" || kind.method == "HEAD";
  call.timeout = InMilliseconds(kind.timeout);
  if (kind.deadline > Duration::zero()) {
    call.fields.Add("Lacewing-Deadline-Ms",
                    std::to_string(InMilliseconds(kind.deadline).count()));
  }
  if (kind.body > ByteCount() || !call.idempotent) {
    call.body = MakeBody(request.id, kind.body);
    request.expected.requestBody = call.body;
  }
  return request;
}

} // namespace lacewing
