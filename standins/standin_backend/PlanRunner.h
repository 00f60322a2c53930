#pragma once

#include "experiment/Plan.h"
#include "experiment/PooledClient.h"
#include "standins/standin_backend/BackendState.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegrock::standin_backend {

/// Header values of a request that are copied to its nested calls.
struct CallTags
{
  std::string mToken;
  std::string mOperation;
};

/// Makes the nested calls of one request through the node's backend listener.
/// All functions and the handler run on the executor given to Create().
class PlanRunner : public std::enable_shared_from_this<PlanRunner>
{
public:
  /// Receives an empty string on success, otherwise the reason of the first
  /// failed call.
  using Handler = std::function<void(const std::string&)>;

  static std::shared_ptr<PlanRunner> Create(
    boost::asio::any_io_executor aExecutor,
    std::shared_ptr<BackendState> aState,
    experiment::Plan aPlan,
    CallTags aTags,
    core::TimePoint aDeadline);

  void Start(Handler aHandler);
  /// Closes the connections of the calls in progress. The handler is not called
  /// afterwards.
  void Cancel();

private:
  PlanRunner(boost::asio::any_io_executor aExecutor,
             std::shared_ptr<BackendState> aState,
             experiment::Plan aPlan,
             CallTags aTags,
             core::TimePoint aDeadline);
  void NextStep();
  void SendCall(const experiment::PlannedCall& aCall, const std::string& aKey);
  void OnResult(const experiment::PlannedCall& aCall,
                bool aHadKey,
                const experiment::HttpResult& aResult);
  void Finish(const std::string& aReason);

  boost::asio::any_io_executor mExecutor;
  std::shared_ptr<BackendState> mState;
  experiment::Plan mPlan;
  CallTags mTags;
  core::TimePoint mDeadline;
  Handler mHandler;
  std::size_t mStep = 0;
  std::size_t mPending = 0;
  std::vector<experiment::PooledClient::ExchangePtr> mExchanges;
};

} // namespace nutmegrock::standin_backend
