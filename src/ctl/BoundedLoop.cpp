#include "ctl/BoundedLoop.h"

#include <memory>
#include <utility>

namespace lacewing {

namespace {

struct Loop : std::enable_shared_from_this<Loop>
{
  std::size_t count = 0;
  std::size_t limit = 0;
  std::function<void(std::size_t, std::function<void(Outcome<void>)>)> step;
  std::function<void(Outcome<void>)> finished;
  std::size_t next = 0;
  std::size_t atWork = 0;
  Outcome<void> result = outcome::success();

  void Continue()
  {
    while (result && next < count && atWork < limit) {
      ++atWork;
      step(next++, [self = shared_from_this()](Outcome<void> aResult) {
        --self->atWork;
        if (!aResult && self->result) {
          self->result = std::move(aResult);
        }
        self->Continue();
      });
    }
    if (atWork == 0 && (!result || next == count) && finished) {
      std::exchange(finished, nullptr)(result);
    }
  }
};

} // namespace

void RunBounded(
  std::size_t aCount,
  std::size_t aLimit,
  std::function<void(std::size_t, std::function<void(Outcome<void>)>)> aStep,
  std::function<void(Outcome<void>)> aFinished)
{
  const auto loop = std::make_shared<Loop>();
  loop->count = aCount;
  loop->limit = aLimit;
  loop->step = std::move(aStep);
  loop->finished = std::move(aFinished);
  loop->Continue();
}

} // namespace lacewing
