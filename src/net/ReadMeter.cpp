#include "net/ReadMeterPriv.h"

#include <utility>

namespace lacewing {

namespace {

// One read buffer of the server, which it holds for each connection anyway;
// requests without a body are never charged.
constexpr ByteCount kFreeBytes(16U << 10U);

} // namespace

ReadMeter::ReadMeter(std::shared_ptr<ReadBudget> aBudget,
                     const std::string& aRefusal,
                     const std::string& aMalformed)
  : budget_(std::move(aBudget))
  , refusal_(aRefusal)
  , malformed_(aMalformed)
{
}

ReadMeter::~ReadMeter()
{
  budget_->Return(charged_);
}

bool ReadMeter::OnRead(ByteCount aBytes)
{
  read_ += aBytes;
  if (read_ <= kFreeBytes + charged_) {
    return true;
  }
  const ByteCount more = read_ - kFreeBytes - charged_;
  if (!budget_->Take(more)) {
    return false;
  }
  charged_ += more;
  return true;
}

void ReadMeter::OnRequest()
{
  budget_->Return(std::exchange(charged_, ByteCount()));
  read_ = ByteCount();
  ++unanswered_;
}

std::string ReadMeter::Refusal() const
{
  return unanswered_ == 0 ? refusal_ : std::string();
}

std::string ReadMeter::Malformed() const
{
  return unanswered_ == 0 && InRequest() ? malformed_ : std::string();
}

} // namespace lacewing
