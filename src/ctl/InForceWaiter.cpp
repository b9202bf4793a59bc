#include "ctl/InForceWaiter.h"

#include "core/OneShotTimer.h"
#include "ctl/BoundedLoop.h"
#include "ctl/HostSurvey.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lacewing {

namespace {

// A configuration takes up to 6 s to be in force at full size; a host answers
// each question from memory.
constexpr std::chrono::milliseconds kPollInterval{ 200 };
// The last question before the deadline still needs time for an answer.
constexpr std::chrono::milliseconds kShortestQuestion{ 100 };
constexpr std::size_t kWritesAtOnce = 16;

class Waiter : public std::enable_shared_from_this<Waiter>
{
public:
  Waiter(const CtlEnvironment& aEnvironment,
         ObjectStore& aStore,
         InForceWait aWait,
         HostReportsHandler aHandler)
    : context_(aEnvironment.context)
    , clock_(aEnvironment.clock)
    , hosts_(aEnvironment.hosts)
    , store_(aStore)
    , wait_(std::move(aWait))
    , adopted_(wait_.adoptedBlobs.begin(), wait_.adoptedBlobs.end())
    , handler_(std::move(aHandler))
  {
  }

  void Round()
  {
    RunBounded(
      adopted_.size(),
      kWritesAtOnce,
      [self = shared_from_this()](std::size_t aIndex, auto aDone) {
        const auto& [key, bytes] = self->adopted_[aIndex];
        self->store_.Put(
          key, bytes, ObjectCondition(), [aDone](const Outcome<ObjectTag>&) {
            aDone(outcome::success());
          });
      },
      [self = shared_from_this()](const Outcome<void>&) { self->Ask(); });
  }

private:
  /** Ends near the deadline even when a host is silent. */
  std::chrono::milliseconds TimeForAnswer() const
  {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      wait_.deadline - clock_.Now());
    return std::clamp(left, kShortestQuestion, kHostTimeout);
  }

  void Ask()
  {
    SurveyHosts(store_,
                hosts_,
                wait_.adminPort,
                TimeForAnswer(),
                [self = shared_from_this()](auto aReports) {
                  self->OnReports(std::move(aReports));
                });
  }

  void OnReports(Outcome<std::vector<HostReport>> aReports)
  {
    if (!aReports) {
      handler_(std::move(aReports));
      return;
    }
    std::vector<HostReport>& reports = aReports.value();
    reports.erase(std::remove_if(reports.begin(),
                                 reports.end(),
                                 [](const HostReport& aReport) {
                                   return aReport.host.leaving;
                                 }),
                  reports.end());
    const bool everywhere = std::all_of(
      reports.begin(), reports.end(), [this](const HostReport& aReport) {
        return HasInForce(aReport, wait_.version);
      });
    if (everywhere || clock_.Now() + kPollInterval >= wait_.deadline) {
      handler_(std::move(aReports));
      return;
    }
    OneShotTimer::RunAfter(
      context_, kPollInterval, [self = shared_from_this()] { self->Round(); });
  }

  asio::io_context& context_;
  const Clock& clock_;
  HostReader& hosts_;
  ObjectStore& store_;
  InForceWait wait_;
  std::vector<std::pair<ObjectKey, std::string>> adopted_;
  HostReportsHandler handler_;
};

} // namespace

void WaitUntilInForce(
  const CtlEnvironment& aEnvironment,
  ObjectStore& aStore,
  InForceWait aWait,
  std::function<void(Outcome<std::vector<HostReport>>)> aHandler)
{
  std::make_shared<Waiter>(
    aEnvironment, aStore, std::move(aWait), std::move(aHandler))
    ->Round();
}

} // namespace lacewing
