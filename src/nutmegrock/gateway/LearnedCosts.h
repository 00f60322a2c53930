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

/// Keeps what the nodes of a service have learned about routes in the
/// platform's store, one row for each service, so that it outlives all of them.
/// Calls of the store block and run on a thread of their own; nothing that
/// serves a request waits for them.
class LearnedCosts
{
public:
  struct Hooks
  {
    /// The costs that the store had at the start. Called at most once, on the
    /// own thread.
    std::function<void(NamedCosts)> mOnRead;
    /// One line for each change of what is known, on the own thread.
    std::function<void(const std::string&)> mLog;
  };

  /// Begins to read.
  LearnedCosts(std::shared_ptr<store::TableService> aTable,
               const std::string& aService,
               Hooks aHooks);
  LearnedCosts(const LearnedCosts&) = delete;
  LearnedCosts& operator=(const LearnedCosts&) = delete;
  /// Waits for a call of the store under way.
  ~LearnedCosts();

  /// Writes the costs soon, unless newer ones come before. Does not block.
  void Save(const NamedCosts& aCosts);

private:
  void Run();
  /// False when the store failed.
  bool Read(bool aForCosts);
  bool Write(const std::string& aText);

  const std::shared_ptr<store::TableService> mTable;
  const std::string mKey;
  const Hooks mHooks;
  /// Used by the thread only.
  std::uint64_t mVersion = 0;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::optional<std::string> mWaiting;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace nutmegrock::gateway
