#pragma once

#include "experiment/PooledClient.h"
#include "standins/standin_backend/BackendState.h"
#include "standins/standin_backend/PlanRunner.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace nutmegrock::standin_backend {

/// The work of one request: waits for a slot, waits for the service time, makes
/// the nested calls and responds. All functions run on the executor given to
/// Create().
class Work : public std::enable_shared_from_this<Work>
{
public:
  using Handler = std::function<void(experiment::HttpResponse)>;

  static std::shared_ptr<Work> Create(boost::asio::any_io_executor aExecutor,
                                      std::shared_ptr<BackendState> aState,
                                      experiment::HttpRequest aRequest);

  /// Calls the handler once, unless the work is aborted first.
  void Start(Handler aHandler);
  /// Stops the work because its connection was closed.
  void Abort();

private:
  Work(boost::asio::any_io_executor aExecutor,
       std::shared_ptr<BackendState> aState,
       experiment::HttpRequest aRequest);
  bool BodyComplete() const;
  void OnGranted();
  void OnServiceEnd();
  void OnDeadline();
  void EndRun(bool aCompleted);
  void Respond(unsigned aStatus,
               const std::string& aHeader = "",
               const std::string& aValue = "");

  boost::asio::any_io_executor mExecutor;
  std::shared_ptr<BackendState> mState;
  experiment::HttpRequest mRequest;
  std::string mOperation;
  Handler mHandler;
  boost::asio::steady_timer mServiceTimer;
  boost::asio::steady_timer mDeadlineTimer;
  core::TimePoint mDeadline = core::TimePoint::max();
  std::optional<SlotPool::Ticket> mTicket;
  std::optional<core::TimePoint> mRunStart;
  std::shared_ptr<PlanRunner> mNested;
};

} // namespace nutmegrock::standin_backend
