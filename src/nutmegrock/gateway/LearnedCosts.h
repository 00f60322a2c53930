#pragma once

#include "gateway/CostText.h"
#include "store/TableService.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace nutmegrock::gateway {

/// Persists what the nodes of a service have learned of their routes in the
/// platform's store, one row for each service, so that they outlive all nodes.
/// Store calls block and run on a dedicated thread; no request waits for them.
class LearnedCosts
{
public:
  struct Hooks
  {
    /// Receives the state found in the store at the start. Called at most once,
    /// on the thread of this object.
    std::function<void(LearnedState)> mOnRead;
    /// Logs one line for each state change, on the thread of this object.
    std::function<void(const std::string&)> mLog;
  };

  /// Starts reading.
  LearnedCosts(std::shared_ptr<store::TableService> aTable,
               const std::string& aService,
               Hooks aHooks);
  LearnedCosts(const LearnedCosts&) = delete;
  LearnedCosts& operator=(const LearnedCosts&) = delete;
  /// Waits for a store call in progress.
  ~LearnedCosts();

  /// Writes the state asynchronously, unless a newer one arrives before. Does
  /// not block.
  void Save(const LearnedState& aState);
  /// Reports that the store answers again: a state whose write failed is
  /// written again, unless a newer one was given since. Does not block.
  void Retry();

private:
  void Run();
  /// Returns false when the store failed. Reports the costs only with
  /// aReportCosts.
  bool Read(bool aReportCosts);
  bool Write(const std::string& aText);

  const std::shared_ptr<store::TableService> mTable;
  const std::string mKey;
  const Hooks mHooks;
  /// Used only by the thread.
  std::uint64_t mVersion = 0;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::optional<std::string> mPending;
  /// The last state, if its write failed.
  std::optional<std::string> mFailed;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace nutmegrock::gateway
