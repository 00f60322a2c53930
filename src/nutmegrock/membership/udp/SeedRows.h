#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Member.h"
#include "membership/Random.h"
#include "membership/udp/MembershipCounters.h"
#include "store/TableService.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace nutmegrock::membership::udp {

struct SeedRowsSettings
{
  /// Age after which a row that was read is removed if its member is gone.
  std::chrono::nanoseconds mStaleAfter = std::chrono::hours{ 2 };
  /// Time after the start at which a node has learned the members of its
  /// region. Then the nodes of the region read the next one, at a rate of about
  /// mNextRegionReads per second in all, whatever their number.
  std::chrono::milliseconds mSettleTime{ 5'000 };
  double mNextRegionReads = 0.5;
};

/// Hooks of the seed rows. Called on their thread.
struct SeedRowsHooks
{
  /// Called with the addresses of the rows that were read.
  std::function<void(std::vector<core::Address>)> mOnRowsFound;
  /// Number of other members that are present.
  std::function<std::size_t()> mMembers;
  /// Returns true if the row of a member can be removed: the member is not
  /// present and this node is not isolated.
  std::function<bool(core::Incarnation)> mIsGone;
};

/// Maintains the row of this node in the table service and reads rows of other
/// nodes as seeds, on its own thread, since the table service blocks. Keys are
/// "nodes/<region>/<incarnation>", values are peer addresses.
class SeedRows
{
public:
  using Clock = std::chrono::steady_clock;

  /// Rows read from the region of this node, and later from the next region in
  /// key order. The latter joins all regions into one mesh, as the regions form
  /// a ring. One more row is read to find the name of the next region, 16 in
  /// all.
  static constexpr std::size_t kOwnRegionRows = 12;
  static constexpr std::size_t kNextRegionRows = 3;

  SeedRows(std::shared_ptr<store::TableService> aTable,
           const Member& aOwn,
           SeedRowsSettings aSettings,
           SeedRowsHooks aHooks,
           MembershipCounters& aCounters);
  SeedRows(const SeedRows&) = delete;
  SeedRows& operator=(const SeedRows&) = delete;
  /// Waits for a table service call in progress.
  ~SeedRows();

  /// Removes the row of a dead member.
  void Remove(const Member& aMember);
  /// Reports that the store answers other calls again: an attempt that waits
  /// for its backoff is made soon. Does not block.
  void Retry();
  /// Writes the row of this node again and reads the others; call it when the
  /// store has another address. Does not block.
  void Rewrite();
  /// True if the rows of other nodes have been read at least once.
  bool HasRead() const { return mHasRead; }
  /// Removes the row of this node. The thread ends afterwards, at the latest
  /// after aTimeout.
  void Leave(std::chrono::milliseconds aTimeout);
  /// Waits until the thread ended after Leave(), or until aUntil.
  void WaitUntil(Clock::time_point aUntil);

  /// Key of a member's row.
  static std::string KeyOf(const Member& aMember);

private:
  void Run();
  void RunOnce(std::unique_lock<std::mutex>& aLock);
  void RunLeave(std::unique_lock<std::mutex>& aLock);
  void RunRemovals(std::unique_lock<std::mutex>& aLock);
  bool WriteOwn();
  bool ReadSeeds();
  bool ReadNextRegion();
  bool ReportRows(const std::vector<store::Row>& aRows);
  bool ReadRegion(const std::string& aPrefix,
                  std::size_t aLimit,
                  std::vector<store::Row>& aRows);
  void RemoveStale();
  /// Returns a uniformly distributed delay between 0.5 and 1.5 times aMean.
  std::chrono::milliseconds Jittered(std::chrono::milliseconds aMean);
  /// Records the result of a table service call and returns it.
  bool RecordResult(bool aSuccess, const char* aWhat);

  std::shared_ptr<store::TableService> mTable;
  std::string mRegionPrefix;
  std::string mOwnKey;
  std::string mOwnValue;
  SeedRowsSettings mSettings;
  SeedRowsHooks mHooks;
  MembershipCounters& mCounters;
  Random mRandom;

  // Used by the thread only.
  bool mWritten = false;
  bool mFailing = false;
  std::chrono::milliseconds mBackOff{ 0 };
  Clock::time_point mNextRead;
  Clock::time_point mNextReadAlone;
  /// Empty until the time of the read is chosen.
  std::optional<Clock::time_point> mNextRegionRead;
  Clock::time_point mSettledAt;
  /// Keys of rows read and when, until they are checked for staleness.
  std::map<std::string, Clock::time_point> mSeen;

  std::mutex mMutex;
  std::condition_variable mWake;
  std::atomic<bool> mHasRead{ false };
  bool mStopping = false;
  bool mRetry = false;
  bool mRewrite = false;
  bool mLeaving = false;
  bool mEnded = false;
  Clock::time_point mLeaveUntil;
  std::vector<std::string> mRemovals;
  std::thread mThread;
};

} // namespace nutmegrock::membership::udp
