#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include "lacewing/Clock.h"
#include "lacewing/InstanceId.h"
#include "lacewing/Outcome.h"
#include "net/HttpServer.h"
#include "standin/LoadReport.h"
#include "standin/RunLog.h"
#include "standin/ServiceTime.h"
#include "standin/TargetSpec.h"
#include "standin/TargetStats.h"
#include "standin/TargetWork.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <set>

namespace lacewing {

/** Stand-in for one target; lives on the thread of its io_context. */
class Target
{
public:
  static Outcome<std::unique_ptr<Target>> Make(asio::io_context& aContext,
                                               const Clock& aClock,
                                               const TargetSpec& aSpec,
                                               RunLog& aLog,
                                               TimePoint aProcessStart);

  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  const TargetSpec& Spec() const { return spec_; }

  /** Changes the properties that aJson names. */
  Outcome<void> Change(const nlohmann::json& aJson);

  /** Drops every request in progress and starts cold as a new instance. */
  void Restart();

  nlohmann::json Stats() const;

private:
  using Work = std::shared_ptr<TargetWork>;

  Target(asio::io_context& aContext,
         const Clock& aClock,
         const TargetSpec& aSpec,
         RunLog& aLog,
         TimePoint aProcessStart);

  Outcome<void> Listen();
  void Accept(HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder);
  bool Refuse(const HttpRequest& aRequest, HttpResponder& aResponder);
  bool RefuseConnection(const HttpRequest& aRequest, HttpResponder& aResponder);
  bool RefuseDraining(const HttpRequest& aRequest, HttpResponder& aResponder);
  bool FailFast(const HttpRequest& aRequest, HttpResponder& aResponder);
  bool FallOver(const HttpRequest& aRequest, HttpResponder& aResponder);
  bool Shed(const HttpRequest& aRequest, HttpResponder& aResponder);
  void Enqueue(const Work& aWork);
  void StartWaiting();
  void Start(const Work& aWork);
  void Finish(const Work& aWork);
  void Cancel(const Work& aWork);
  void Leave(const Work& aWork, RunEnd aEnd);
  void DropAll();
  void BecomeColdInstance();
  void CountInProgress();
  RunLog::Index LogRun(const HttpRequest& aRequest);
  bool IsCold() const;
  std::size_t InProgress() const;
  HttpResponse MakeAnswer(int aStatus, const HttpRequest& aRequest);
  HttpResponse MakeNotRunAnswer(const HttpRequest& aRequest);

  asio::io_context& context_;
  const Clock& clock_;
  TargetSpec spec_;
  RunLog& log_;
  const TimePoint processStart_;
  TimePoint instanceStart_;
  std::uint64_t instances_ = 0;
  InstanceId instance_;
  ServiceTime serviceTime_;
  TargetStats stats_;
  LoadReport load_;
  std::set<Work> connecting_;
  std::deque<Work> waiting_;
  std::set<Work> running_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace lacewing

#endif // STANDIN_TARGET_H
