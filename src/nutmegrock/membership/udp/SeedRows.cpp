#include "membership/udp/SeedRows.h"

#include <algorithm>
#include <charconv>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::membership::udp {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPrefix = "nodes/";

/// Backoff between attempts while the store is down, doubled each time. With
/// 3,800 nodes the maximum keeps the attempts at 127/s.
constexpr std::chrono::milliseconds kInitialBackOff = 500ms;
constexpr std::chrono::milliseconds kMaxBackOff = 30s;
/// Maximum while no other member is known: this node cannot serve until it
/// finds one.
constexpr std::chrono::milliseconds kMaxBackOffAlone = 4s;
/// Maximum delay of Retry(), which all nodes call within a few seconds.
constexpr std::chrono::milliseconds kMaxRetryDelay = 300ms;

/// Mean interval between reads while no other member is known.
constexpr std::chrono::milliseconds kReadIntervalAlone = 5s;
/// Mean interval between reads otherwise: about 1 read/s in the whole mesh.
/// Joins meshes that were partitioned for longer than dead members are
/// retained.
constexpr std::chrono::milliseconds kReadInterval = 1h;

core::Incarnation
IncarnationOf(const std::string& aKey)
{
  core::Incarnation incarnation;
  const auto slash = aKey.rfind('/');
  const char* end = aKey.data() + aKey.size();
  std::from_chars(
    aKey.data() + slash + 1, end, incarnation.mBits, 16); // NOLINT
  return incarnation;
}

} // namespace

std::string
SeedRows::KeyOf(const Member& aMember)
{
  return fmt::format(
    "{}{}/{}", kPrefix, aMember.mRegion, aMember.mIncarnation.ToString());
}

SeedRows::SeedRows(std::shared_ptr<store::TableService> aTable,
                   const Member& aOwn,
                   SeedRowsSettings aSettings,
                   SeedRowsHooks aHooks,
                   MembershipCounters& aCounters)
  : mTable(std::move(aTable))
  , mRegionPrefix(fmt::format("{}{}/", kPrefix, aOwn.mRegion))
  , mOwnKey(KeyOf(aOwn))
  , mOwnValue(aOwn.mAddress.ToString())
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mCounters(aCounters)
  , mRandom(aOwn.mIncarnation.mBits ^ 0x5eedULL)
  , mThread([this] { Run(); })
{
}

SeedRows::~SeedRows()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
SeedRows::Remove(const Member& aMember)
{
  {
    const std::lock_guard lock(mMutex);
    mRemovals.push_back(KeyOf(aMember));
  }
  mWake.notify_all();
}

void
SeedRows::Retry()
{
  {
    const std::lock_guard lock(mMutex);
    mRetry = true;
  }
  mWake.notify_all();
}

void
SeedRows::Rewrite()
{
  {
    const std::lock_guard lock(mMutex);
    mRewrite = true;
    mRetry = true;
  }
  mWake.notify_all();
}

void
SeedRows::Leave(std::chrono::milliseconds aTimeout)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mLeaving) {
      mLeaving = true;
      mLeaveUntil = Clock::now() + aTimeout;
    }
  }
  mWake.notify_all();
}

void
SeedRows::WaitUntil(Clock::time_point aUntil)
{
  std::unique_lock lock(mMutex);
  mWake.wait_until(lock, aUntil, [this] { return mEnded; });
}

void
SeedRows::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping && !mLeaving) {
    RunOnce(lock);
  }
  if (mLeaving) {
    RunLeave(lock);
  }
  mEnded = true;
  mWake.notify_all();
}

void
SeedRows::RunOnce(std::unique_lock<std::mutex>& aLock)
{
  mWritten = mWritten && !std::exchange(mRewrite, false);
  aLock.unlock();
  // The row of this node is written before others are read, so that of two
  // nodes that start together at least one finds the other.
  bool success = mWritten || WriteOwn();
  const auto now = Clock::now();
  const bool alone = mHooks.mMembers() == 0;
  // The store may refuse only writes, and for long.
  const bool read_alone =
    alone && now >= mNextReadAlone && (success || mBackOff > 0ms);
  if ((success && now >= mNextRead) || read_alone) {
    success = ReadSeeds() && success;
  }
  if (success && now >= mSettledAt && !mNextRegionRead) {
    const std::chrono::duration<double> spread(
      static_cast<double>(mHooks.mMembers()) / mSettings.mNextRegionReads);
    mNextRegionRead = now + std::chrono::duration_cast<Clock::duration>(
                              2 * mRandom.Unit() * spread);
  }
  if (success && mNextRegionRead && now >= *mNextRegionRead) {
    success = ReadNextRegion();
  }
  if (success) {
    RemoveStale();
  }
  aLock.lock();
  RunRemovals(aLock);
  mBackOff = success ? 0ms
                     : std::clamp(mBackOff * 2,
                                  kInitialBackOff,
                                  alone ? kMaxBackOffAlone : kMaxBackOff);
  const std::chrono::duration<double, std::milli> retry =
    mBackOff * (0.5 + mRandom.Unit());
  // Wakes up regularly, since a node that lost all other members reads again
  // soon.
  const auto until =
    success ? std::min({ mNextRead,
                         mNextRegionRead.value_or(mSettledAt),
                         Clock::now() + 60s })
            : Clock::now() +
                std::chrono::duration_cast<std::chrono::milliseconds>(retry);
  mWake.wait_until(aLock, until, [this] {
    return mStopping || mLeaving || mRetry || !mRemovals.empty();
  });
  if (std::exchange(mRetry, false) && mBackOff > 0ms) {
    mBackOff = 0ms;
    mWake.wait_for(aLock,
                   std::chrono::duration<double, std::milli>(kMaxRetryDelay) *
                     mRandom.Unit(),
                   [this] { return mStopping || mLeaving; });
  }
}

void
SeedRows::RunRemovals(std::unique_lock<std::mutex>& aLock)
{
  const std::vector<std::string> removals = std::exchange(mRemovals, {});
  aLock.unlock();
  for (const std::string& key : removals) {
    // If this fails, a later reader finds the row stale.
    RecordResult(mTable->Remove(key).has_value(), "remove a row");
  }
  aLock.lock();
}

void
SeedRows::RunLeave(std::unique_lock<std::mutex>& aLock)
{
  while (!mStopping && Clock::now() < mLeaveUntil) {
    aLock.unlock();
    const bool removed =
      RecordResult(mTable->Remove(mOwnKey).has_value(), "remove the own row");
    aLock.lock();
    if (removed) {
      return;
    }
    mWake.wait_for(aLock, 200ms, [this] { return mStopping; });
  }
}

bool
SeedRows::WriteOwn()
{
  const auto written = mTable->Write(mOwnKey, mOwnValue, 0);
  // A conflict means that an earlier attempt whose response was lost wrote the
  // row: no other node writes this key.
  mWritten =
    written || written.error().mKind == core::ErrorKind::VersionConflict;
  if (mWritten) {
    mNextRead = Clock::now();
    mSettledAt = mNextRead + mSettings.mSettleTime;
  }
  return RecordResult(mWritten, "write the own row");
}

bool
SeedRows::ReadSeeds()
{
  std::vector<store::Row> rows;
  if (!ReadRegion(mRegionPrefix, kOwnRegionRows, rows)) {
    return false;
  }
  mNextRead = Clock::now() + Jittered(kReadInterval);
  mNextReadAlone = Clock::now() + Jittered(kReadIntervalAlone);
  mHasRead = true;
  // A node alone in its region knows no other member that could read the next.
  const bool others = ReportRows(rows);
  return others || ReadNextRegion();
}

bool
SeedRows::ReadNextRegion()
{
  std::vector<store::Row> rows;
  // '0' follows '/', so this is the first key after the region of this node.
  std::string after = mRegionPrefix;
  after.back() = '0';
  auto next = mTable->Scan(std::string(kPrefix), after, 1);
  if (next && next->empty()) {
    next = mTable->Scan(std::string(kPrefix), std::string(kPrefix), 1);
  }
  if (!RecordResult(next.has_value(), "read rows")) {
    return false;
  }
  if (!next->empty()) {
    const std::string& key = next->front().mKey;
    const std::string prefix = key.substr(0, key.rfind('/') + 1);
    if (prefix != mRegionPrefix && !ReadRegion(prefix, kNextRegionRows, rows)) {
      return false;
    }
  }
  mNextRegionRead = Clock::now() + Jittered(kReadInterval);
  if (!rows.empty()) {
    ReportRows(rows);
  }
  return true;
}

/// Returns true if a row is that of another node.
bool
SeedRows::ReportRows(const std::vector<store::Row>& aRows)
{
  std::vector<core::Address> found;
  for (const store::Row& row : aRows) {
    const auto address = core::Address::Parse(row.mValue);
    if (address && row.mKey != mOwnKey) {
      found.push_back(*address);
      mSeen.emplace(row.mKey, Clock::now());
    }
  }
  const bool others = !found.empty();
  mHooks.mOnRowsFound(std::move(found));
  return others;
}

bool
SeedRows::ReadRegion(const std::string& aPrefix,
                     std::size_t aLimit,
                     std::vector<store::Row>& aRows)
{
  const std::string from = fmt::format("{}{:016x}", aPrefix, mRandom());
  auto rows = mTable->Scan(aPrefix, from, aLimit);
  if (!RecordResult(rows.has_value(), "read rows")) {
    return false;
  }
  const std::size_t missing = aLimit - std::min(aLimit, rows->size());
  aRows.insert(aRows.end(), rows->begin(), rows->end());
  if (missing == 0) {
    return true;
  }
  rows = mTable->Scan(aPrefix, aPrefix, missing);
  if (!RecordResult(rows.has_value(), "read rows")) {
    return false;
  }
  for (const store::Row& row : *rows) {
    if (row.mKey < from) {
      aRows.push_back(row);
    }
  }
  return true;
}

std::chrono::milliseconds
SeedRows::Jittered(std::chrono::milliseconds aMean)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::duration<double, std::milli>(aMean) * (0.5 + mRandom.Unit()));
}

void
SeedRows::RemoveStale()
{
  const auto now = Clock::now();
  for (auto next = mSeen.begin(); next != mSeen.end();) {
    if (now - next->second < mSettings.mStaleAfter) {
      ++next;
      continue;
    }
    if (mHooks.mIsGone(IncarnationOf(next->first))) {
      RecordResult(mTable->Remove(next->first).has_value(), "remove a row");
    }
    next = mSeen.erase(next);
  }
}

bool
SeedRows::RecordResult(bool aSuccess, const char* aWhat)
{
  if (!aSuccess) {
    mCounters.mStoreFailed.fetch_add(1, std::memory_order_relaxed);
  }
  if (aSuccess == mFailing) {
    mFailing = !aSuccess;
    if (mFailing) {
      spdlog::warn("table service does not answer, could not {}", aWhat);
    } else {
      spdlog::info("table service answers again");
    }
  }
  return aSuccess;
}

} // namespace nutmegrock::membership::udp
