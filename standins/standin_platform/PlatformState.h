#pragma once

#include "store/TableService.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::standins {

/// Switches of the faults the platform shows.
struct PlatformFaults
{
  /// Every request fails without an effect.
  bool mDown = false;
  /// Every answer comes this much later.
  std::chrono::milliseconds mDelay{ 0 };
  /// This many further writes take effect but are never answered; negative for
  /// all of them.
  std::int64_t mLoseResponses = 0;
  /// This many further row reads give the row as it was before its last write;
  /// negative for all of them.
  std::int64_t mStaleReads = 0;
};

/// Requests that reached the platform while it was not down.
struct PlatformCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

/// Rows, objects and fault switches of the stand-in platform. Safe for use by
/// several threads.
class PlatformState
{
public:
  /// What a conditional write gave.
  struct WriteResult
  {
    bool mWritten = false;
    std::uint64_t mVersion = 0;
  };

  /// The row, or nothing. Subject to the stale read switch.
  std::optional<store::Row> ReadRow(const std::string& aKey)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mReads;
    const auto found = mRows.find(aKey);
    const bool stale = Take(mFaults.mStaleReads);
    if (found == mRows.end()) {
      return std::nullopt;
    }
    return stale ? found->second.mBefore : found->second.mNow;
  }

  /// Rows whose key starts with aPrefix, from aFrom on.
  std::vector<store::Row> ScanRows(const std::string& aPrefix,
                                   const std::string& aFrom,
                                   std::size_t aLimit)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mReads;
    std::vector<store::Row> rows;
    for (auto at = mRows.lower_bound(std::max(aPrefix, aFrom));
         at != mRows.end() && at->first.starts_with(aPrefix);
         ++at) {
      if (rows.size() == aLimit) {
        break;
      }
      if (at->second.mNow) {
        rows.push_back(*at->second.mNow);
      }
    }
    return rows;
  }

  /// Writes the row if its version is aExpected; 0 stands for no row.
  WriteResult WriteRow(const std::string& aKey,
                       const std::string& aValue,
                       std::uint64_t aExpected)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mWrites;
    History& history = mRows[aKey];
    const std::uint64_t present = history.mNow ? history.mNow->mVersion : 0;
    if (present != aExpected) {
      return {};
    }
    history.mBefore = history.mNow;
    history.mNow = store::Row{ aKey, aValue, ++mLastVersion };
    return { true, mLastVersion };
  }

  void RemoveRow(const std::string& aKey)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mWrites;
    History& history = mRows[aKey];
    history.mBefore = history.mNow;
    history.mNow.reset();
  }

  std::optional<std::string> ReadObject(const std::string& aName)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mReads;
    const auto found = mObjects.find(aName);
    return found == mObjects.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  void WriteObject(const std::string& aName, const std::string& aBytes)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mWrites;
    mObjects[aName] = aBytes;
  }

  void RemoveObject(const std::string& aName)
  {
    const std::scoped_lock lock(mMutex);
    mObjects.erase(aName);
  }

  void SetFaults(const PlatformFaults& aFaults)
  {
    const std::scoped_lock lock(mMutex);
    mFaults = aFaults;
  }
  PlatformFaults Faults() const
  {
    const std::scoped_lock lock(mMutex);
    return mFaults;
  }
  /// Whether the answer of the write just made is lost; uses up one of the
  /// answers to lose.
  bool ShouldLoseResponse()
  {
    const std::scoped_lock lock(mMutex);
    return Take(mFaults.mLoseResponses);
  }

  PlatformCounts Counts() const
  {
    const std::scoped_lock lock(mMutex);
    return mCounts;
  }

private:
  struct History
  {
    std::optional<store::Row> mNow;
    std::optional<store::Row> mBefore;
  };

  static bool Take(std::int64_t& aLeft)
  {
    if (aLeft > 0) {
      --aLeft;
      return true;
    }
    return aLeft < 0;
  }

  mutable std::mutex mMutex;
  std::map<std::string, History, std::less<>> mRows;
  std::map<std::string, std::string, std::less<>> mObjects;
  std::uint64_t mLastVersion = 0;
  PlatformFaults mFaults;
  PlatformCounts mCounts;
};

} // namespace nutmegrock::standins
