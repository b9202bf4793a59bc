#include "gateway/AllowanceStep.h"

#include <utility>

namespace lacewing {

AllowanceStep::AllowanceStep(TrafficState& aState)
  : state_(aState)
{
}

AllowanceStep::~AllowanceStep()
{
  Release();
}

void AllowanceStep::SetCustomer(const CustomerSpec* aCustomer)
{
  customer_ = aCustomer;
}

bool AllowanceStep::Limited() const
{
  return state_.Allowances() != nullptr && customer_ != nullptr &&
         customer_->limit.IsSet();
}

void AllowanceStep::Take(Handler aHandler)
{
  retryAfter_.reset();
  if (TakeNow()) {
    aHandler(AllowanceVerdict::kGranted);
    return;
  }
  AllowanceGate& gate = *state_.Allowances();
  retryAfter_ = gate.RefuseNow(customer_->id);
  if (retryAfter_) {
    aHandler(AllowanceVerdict::kOverLimit);
    return;
  }
  waiter_ = gate.Wait(
    customer_->id,
    [this, handler = std::move(aHandler)](const AllowanceResult& aResult) {
      waiter_.reset();
      if (aResult.verdict == AllowanceVerdict::kGranted) {
        token_ = aResult.token;
      } else {
        retryAfter_ = aResult.retryAfter;
      }
      // The handler may end the request and with it this object.
      const Handler call = handler;
      call(aResult.verdict);
    });
}

bool AllowanceStep::TakeNow()
{
  if (!Limited()) {
    return true;
  }
  if (!token_ || token_->validUntil <= state_.Now()) {
    Release();
    token_ = state_.Allowances()->TryTake(customer_->id);
  }
  return token_.has_value();
}

std::optional<AllowanceToken> AllowanceStep::Spend()
{
  return std::exchange(token_, std::nullopt);
}

void AllowanceStep::GiveBack(const std::optional<AllowanceToken>& aUsed)
{
  if (aUsed) {
    state_.Allowances()->GiveBack(customer_->id, *aUsed);
  }
}

void AllowanceStep::Release()
{
  if (waiter_) {
    state_.Allowances()->Cancel(customer_->id, *waiter_);
    waiter_.reset();
  }
  GiveBack(std::exchange(token_, std::nullopt));
}

} // namespace lacewing
