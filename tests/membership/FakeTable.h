#pragma once

#include "store/TableService.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegrock::membership {

/// In-memory table service with fault injection.
class FakeTable final : public store::TableService
{
public:
  core::Expected<std::optional<store::Row>> Read(
    const std::string& aKey) override
  {
    const std::lock_guard lock(mMutex);
    if (mDown) {
      return Unavailable();
    }
    const auto found = mRows.find(aKey);
    return found == mRows.end() ? std::optional<store::Row>()
                                : std::optional(found->second);
  }
  core::Expected<std::vector<store::Row>> Scan(const std::string& aPrefix,
                                               const std::string& aFrom,
                                               std::size_t aLimit) override
  {
    const std::lock_guard lock(mMutex);
    if (mDown) {
      return Unavailable();
    }
    ++mScans;
    std::vector<store::Row> rows;
    for (auto next = mRows.lower_bound(std::max(aPrefix, aFrom));
         next != mRows.end() && rows.size() < aLimit &&
         next->first.starts_with(aPrefix);
         ++next) {
      rows.push_back(next->second);
    }
    mRowsRead += rows.size();
    return rows;
  }
  core::Expected<std::uint64_t> Write(const std::string& aKey,
                                      const std::string& aValue,
                                      std::uint64_t aExpected) override
  {
    const std::lock_guard lock(mMutex);
    ++mWrites;
    if (mDown || mRefuseWrites) {
      return Unavailable();
    }
    const auto found = mRows.find(aKey);
    const auto version = found == mRows.end() ? 0 : found->second.mVersion;
    if (version != aExpected) {
      return core::Fail(core::ErrorKind::VersionConflict, "row has changed");
    }
    mRows[aKey] = { aKey, aValue, ++mVersion };
    if (mLoseResponses) {
      return Unavailable();
    }
    return mVersion;
  }
  core::Expected<bool> Remove(const std::string& aKey) override
  {
    const std::lock_guard lock(mMutex);
    if (mDown) {
      return Unavailable();
    }
    mRows.erase(aKey);
    return true;
  }

  bool Has(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    return mRows.contains(aKey);
  }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    mRows[aKey] = { aKey, aValue, ++mVersion };
  }

  std::atomic<bool> mDown{ false };
  std::atomic<bool> mRefuseWrites{ false };
  std::atomic<int> mScans{ 0 };
  /// Writes take effect but report an error.
  std::atomic<bool> mLoseResponses{ false };
  std::atomic<std::size_t> mWrites{ 0 };
  std::atomic<std::size_t> mRowsRead{ 0 };

private:
  static tl::unexpected<core::Error> Unavailable()
  {
    return core::Fail(core::ErrorKind::StoreUnavailable, "down");
  }

  std::mutex mMutex;
  std::map<std::string, store::Row> mRows;
  std::uint64_t mVersion = 0;
};

} // namespace nutmegrock::membership
