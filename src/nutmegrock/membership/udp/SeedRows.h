#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Member.h"
#include "membership/Random.h"
#include "membership/udp/MembershipCounters.h"
#include "store/TableService.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nutmegrock::membership::udp {

/// What the seed rows need of the membership. Called on the thread of the rows.
struct SeedRowsHooks
{
  /// Takes the addresses of the rows that were read.
  std::function<void(std::vector<core::Address>)> mFound;
  /// Whether no other member is known.
  std::function<bool()> mIsAlone;
  /// Whether the row of a member may go: it is neither present nor is this node
  /// isolated.
  std::function<bool(core::Incarnation)> mIsGone;
};

/// Keeps the row of the own node in the table service and reads rows of others
/// as seeds, on a thread of its own, since the table service blocks. Keys are
/// "nodes/<region>/<incarnation>", values are peer addresses.
class SeedRows
{
public:
  using Clock = std::chrono::steady_clock;

  /// Rows read from the own region and from the region that follows it. The
  /// latter joins all regions into one mesh, as the regions form a ring. One
  /// more row is read to learn its name, 16 in all.
  static constexpr std::size_t kOwnRegionRows = 12;
  static constexpr std::size_t kNextRegionRows = 3;

  /// aStaleAfter: a row that was read this long ago and whose member is gone is
  /// removed.
  SeedRows(std::shared_ptr<store::TableService> aTable,
           const Member& aOwn,
           std::chrono::nanoseconds aStaleAfter,
           SeedRowsHooks aHooks,
           MembershipCounters& aCounters);
  SeedRows(const SeedRows&) = delete;
  SeedRows& operator=(const SeedRows&) = delete;
  /// Waits for a call to the table service in progress.
  ~SeedRows();

  /// Removes the row of a member that was found dead.
  void Remove(const Member& aMember);
  /// Removes the own row; the thread ends after it or after aPatience.
  void Leave(std::chrono::milliseconds aPatience);
  /// Waits until the thread has ended after Leave(), or until aUntil.
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
  bool ReadRegion(const std::string& aPrefix,
                  std::size_t aLimit,
                  std::vector<store::Row>& aRows);
  void RemoveStale();
  /// A random pause with that mean.
  std::chrono::milliseconds Jittered(std::chrono::milliseconds aMean);
  /// Notes the result of a call to the table service.
  bool Succeeded(bool aSuccess, const char* aWhat);

  std::shared_ptr<store::TableService> mTable;
  std::string mRegionPrefix;
  std::string mOwnKey;
  std::string mOwnValue;
  std::chrono::nanoseconds mStaleAfter;
  SeedRowsHooks mHooks;
  MembershipCounters& mCounters;
  Random mRandom;

  // Used by the thread only.
  bool mWritten = false;
  bool mFailing = false;
  std::chrono::milliseconds mBackOff{ 0 };
  Clock::time_point mNextRead;
  Clock::time_point mNextReadAlone;
  /// Rows read and when, until they are known to be stale or not.
  std::map<std::string, Clock::time_point> mSeen;

  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mLeaving = false;
  bool mEnded = false;
  Clock::time_point mLeaveUntil;
  std::vector<std::string> mRemovals;
  std::thread mThread;
};

} // namespace nutmegrock::membership::udp
