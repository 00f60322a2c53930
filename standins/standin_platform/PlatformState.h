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

/// Faults that the platform injects.
struct PlatformFaults
{
  /// Every request fails without an effect.
  bool mDown = false;
  /// Delay added to every response.
  std::chrono::milliseconds mDelay{ 0 };
  /// Number of further writes that take effect but get no response; negative
  /// for all.
  std::int64_t mLoseResponses = 0;
  /// Number of further row reads that return the row as it was before its last
  /// write; negative for all.
  std::int64_t mStaleReads = 0;
};

/// Requests that reached the platform while it was not down.
struct PlatformCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

/// Rows, objects and injected faults of the stand-in platform. Safe from any
/// thread.
class PlatformState
{
public:
  /// Result of a conditional write.
  struct WriteResult
  {
    bool mWritten = false;
    std::uint64_t mVersion = 0;
  };

  /// Returns the row, or nothing. Subject to PlatformFaults::mStaleReads.
  std::optional<store::Row> ReadRow(const std::string& aKey)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mReads;
    const auto found = mRows.find(aKey);
    const bool stale = Consume(mFaults.mStaleReads);
    if (found == mRows.end()) {
      return std::nullopt;
    }
    return stale ? found->second.mPrevious : found->second.mCurrent;
  }

  /// Returns at most aLimit rows whose keys start with aPrefix, in key order
  /// from aFrom on.
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
      if (at->second.mCurrent) {
        rows.push_back(*at->second.mCurrent);
      }
    }
    return rows;
  }

  /// Writes the row if its version is aExpected; 0 means that it must not
  /// exist.
  WriteResult WriteRow(const std::string& aKey,
                       const std::string& aValue,
                       std::uint64_t aExpected)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mWrites;
    History& history = mRows[aKey];
    const std::uint64_t present =
      history.mCurrent ? history.mCurrent->mVersion : 0;
    if (present != aExpected) {
      return {};
    }
    history.mPrevious = history.mCurrent;
    history.mCurrent = store::Row{ aKey, aValue, ++mLastVersion };
    return { true, mLastVersion };
  }

  void RemoveRow(const std::string& aKey)
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts.mWrites;
    History& history = mRows[aKey];
    history.mPrevious = history.mCurrent;
    history.mCurrent.reset();
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
  /// Returns true if the response to the current write must be lost, and counts
  /// it against PlatformFaults::mLoseResponses.
  bool ShouldLoseResponse()
  {
    const std::scoped_lock lock(mMutex);
    return Consume(mFaults.mLoseResponses);
  }

  PlatformCounts Counts() const
  {
    const std::scoped_lock lock(mMutex);
    return mCounts;
  }

private:
  struct History
  {
    std::optional<store::Row> mCurrent;
    std::optional<store::Row> mPrevious;
  };

  static bool Consume(std::int64_t& aRemaining)
  {
    if (aRemaining > 0) {
      --aRemaining;
      return true;
    }
    return aRemaining < 0;
  }

  mutable std::mutex mMutex;
  std::map<std::string, History, std::less<>> mRows;
  std::map<std::string, std::string, std::less<>> mObjects;
  std::uint64_t mLastVersion = 0;
  PlatformFaults mFaults;
  PlatformCounts mCounts;
};

} // namespace nutmegrock::standins
