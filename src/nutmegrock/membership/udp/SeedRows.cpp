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

/// Pauses between attempts while the store is down, doubled each time. With
/// 3,800 nodes the longest keeps the attempts at 127/s.
constexpr std::chrono::milliseconds kFirstBackOff = 500ms;
constexpr std::chrono::milliseconds kMaxBackOff = 30s;

/// Pause between reads while no other member is known.
constexpr std::chrono::milliseconds kReadAlone = 5s;
/// Mean pause between reads otherwise: about 1 read/s of the whole mesh. It
/// joins meshes that were apart for longer than dead members are kept.
constexpr std::chrono::milliseconds kReadKnown = 1h;

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
                   std::chrono::nanoseconds aStaleAfter,
                   SeedRowsHooks aHooks,
                   MembershipCounters& aCounters)
  : mTable(std::move(aTable))
  , mRegionPrefix(fmt::format("{}{}/", kPrefix, aOwn.mRegion))
  , mOwnKey(KeyOf(aOwn))
  , mOwnValue(aOwn.mAddress.ToString())
  , mStaleAfter(aStaleAfter)
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
SeedRows::Leave(std::chrono::milliseconds aPatience)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mLeaving) {
      mLeaving = true;
      mLeaveUntil = Clock::now() + aPatience;
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
  aLock.unlock();
  // The own row is written before others are read, so of two nodes that start
  // together at least one finds the other.
  bool success = mWritten || WriteOwn();
  const auto now = Clock::now();
  if (success &&
      (now >= mNextRead || (now >= mNextReadAlone && mHooks.mIsAlone()))) {
    success = ReadSeeds();
  }
  if (success) {
    RemoveStale();
  }
  aLock.lock();
  RunRemovals(aLock);
  mBackOff =
    success ? 0ms : std::clamp(mBackOff * 2, kFirstBackOff, kMaxBackOff);
  const std::chrono::duration<double, std::milli> retry =
    mBackOff * (0.5 + mRandom.Unit());
  // A node that is alone looks again soon, also after others were found once.
  const auto until =
    success ? std::min(mNextRead, Clock::now() + 60s)
            : Clock::now() +
                std::chrono::duration_cast<std::chrono::milliseconds>(retry);
  mWake.wait_until(aLock, until, [this] {
    return mStopping || mLeaving || !mRemovals.empty();
  });
}

void
SeedRows::RunRemovals(std::unique_lock<std::mutex>& aLock)
{
  const std::vector<std::string> removals = std::exchange(mRemovals, {});
  aLock.unlock();
  for (const std::string& key : removals) {
    // A row that stays after a failure is found stale by a later reader.
    Succeeded(mTable->Remove(key).has_value(), "remove a row");
  }
  aLock.lock();
}

void
SeedRows::RunLeave(std::unique_lock<std::mutex>& aLock)
{
  while (!mStopping && Clock::now() < mLeaveUntil) {
    aLock.unlock();
    const bool removed =
      Succeeded(mTable->Remove(mOwnKey).has_value(), "remove the own row");
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
  // A conflict means that an earlier attempt whose answer was lost wrote the
  // row: no other node writes this key.
  mWritten =
    written || written.error().mKind == core::ErrorKind::VersionConflict;
  if (mWritten) {
    mNextRead = Clock::now();
  }
  return Succeeded(mWritten, "write the own row");
}

bool
SeedRows::ReadSeeds()
{
  std::vector<store::Row> rows;
  if (!ReadRegion(mRegionPrefix, kOwnRegionRows, rows)) {
    return false;
  }
  // '0' follows '/', so this is the first key after the own region.
  std::string after = mRegionPrefix;
  after.back() = '0';
  auto next = mTable->Scan(std::string(kPrefix), after, 1);
  if (next && next->empty()) {
    next = mTable->Scan(std::string(kPrefix), std::string(kPrefix), 1);
  }
  if (!Succeeded(next.has_value(), "read rows")) {
    return false;
  }
  if (!next->empty()) {
    const std::string& key = next->front().mKey;
    const std::string prefix = key.substr(0, key.rfind('/') + 1);
    if (prefix != mRegionPrefix && !ReadRegion(prefix, kNextRegionRows, rows)) {
      return false;
    }
  }
  std::vector<core::Address> found;
  for (const store::Row& row : rows) {
    const auto address = core::Address::Parse(row.mValue);
    if (address && row.mKey != mOwnKey) {
      found.push_back(*address);
      mSeen.emplace(row.mKey, Clock::now());
    }
  }
  mNextRead = Clock::now() + Jittered(kReadKnown);
  mNextReadAlone = Clock::now() + Jittered(kReadAlone);
  mHooks.mFound(std::move(found));
  return true;
}

bool
SeedRows::ReadRegion(const std::string& aPrefix,
                     std::size_t aLimit,
                     std::vector<store::Row>& aRows)
{
  const std::string from = fmt::format("{}{:016x}", aPrefix, mRandom());
  auto rows = mTable->Scan(aPrefix, from, aLimit);
  if (!Succeeded(rows.has_value(), "read rows")) {
    return false;
  }
  const std::size_t missing = aLimit - std::min(aLimit, rows->size());
  aRows.insert(aRows.end(), rows->begin(), rows->end());
  if (missing == 0) {
    return true;
  }
  rows = mTable->Scan(aPrefix, aPrefix, missing);
  if (!Succeeded(rows.has_value(), "read rows")) {
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
    if (now - next->second < mStaleAfter) {
      ++next;
      continue;
    }
    if (mHooks.mIsGone(IncarnationOf(next->first))) {
      Succeeded(mTable->Remove(next->first).has_value(), "remove a row");
    }
    next = mSeen.erase(next);
  }
}

bool
SeedRows::Succeeded(bool aSuccess, const char* aWhat)
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
