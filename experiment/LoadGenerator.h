#pragma once

#include "experiment/ArrivalProcess.h"
#include "experiment/LoadSettings.h"
#include "experiment/Outcome.h"
#include "experiment/PooledClient.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>
#include <vector>

namespace nutmegrock::experiment {

/// Sends customer requests to a deployment in an open loop and records their
/// outcomes. An operation is one customer request with its retries. All
/// functions are thread-safe.
class LoadGenerator
{
public:
  explicit LoadGenerator(LoadSettings aSettings);
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;
  /// Abandons the requests in progress.
  ~LoadGenerator();

  /// Sets the rate in customer requests/s; zero stops the arrivals.
  void SetRate(double aRate);
  void SetClientBehaviour(const ClientBehaviour& aClient);
  void SetEntryNodes(std::vector<core::Address> aEntries);
  /// Number of requests that have arrived and not yet ended.
  std::size_t InProgress() const { return mInProgress; }
  std::size_t EndedCount() const;
  /// Seconds since construction; the time base of the records.
  double ElapsedSeconds() const;
  /// Records of all ended requests, in the order in which they ended.
  std::vector<OperationRecord> Records() const;
  /// The same, followed by the requests in progress as failed. Without them the
  /// offered load would not include the slowest requests of an overload.
  std::vector<OperationRecord> RecordsWithUnfinished() const;

private:
  friend class ClientOperation;

  void OnTimer();
  void ScheduleNextArrival();
  void StartOperation(core::TimePoint aArrival);
  void Finish(OperationRecord aRecord);
  core::Address RandomEntryNode();
  std::size_t RandomKind();
  double Uniform();

  const LoadSettings mSettings;
  const core::TimePoint mStarted;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard;
  std::shared_ptr<PooledClient> mClient;
  boost::asio::steady_timer mTimer;
  std::atomic<std::size_t> mInProgress = 0;

  mutable std::mutex mMutex;
  ArrivalProcess mArrivals;
  std::mt19937_64 mRandom;
  ClientBehaviour mBehaviour;
  std::vector<core::Address> mEntryNodes;
  std::uint64_t mNextId = 0;
  std::vector<OperationRecord> mRecords;
  std::unordered_map<std::string, OperationRecord> mUnfinished;

  std::vector<std::jthread> mThreads;
};

} // namespace nutmegrock::experiment
