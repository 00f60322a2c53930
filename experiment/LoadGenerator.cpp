#include "experiment/LoadGenerator.h"

#include "experiment/ClientOperation.h"

#include <boost/asio/post.hpp>

namespace nutmegrock::experiment {

namespace {

// Each request in progress holds a connection; more would exceed the limit of
// open files.
constexpr std::size_t kMaxInProgress = 12000;

} // namespace

LoadGenerator::LoadGenerator(LoadSettings aSettings)
  : mSettings(std::move(aSettings))
  , mStarted(core::Clock::now())
  , mContext(static_cast<int>(mSettings.mThreads))
  , mWorkGuard(mContext.get_executor())
  , mClient(PooledClient::Create(mContext))
  , mTimer(mContext)
  , mArrivals(mSettings.mSeed, mStarted)
  , mRandom(mSettings.mSeed + 1)
  , mBehaviour(mSettings.mClient)
  , mEntryNodes(mSettings.mEntryNodes)
{
  for (std::size_t i = 0; i < mSettings.mThreads; ++i) {
    mThreads.emplace_back([this] { mContext.run(); });
  }
}

LoadGenerator::~LoadGenerator()
{
  mContext.stop();
  mThreads.clear();
  mClient->CloseIdle();
}

void
LoadGenerator::SetRate(double aRate)
{
  {
    const std::lock_guard lock(mMutex);
    mArrivals.SetRate(aRate, core::Clock::now());
  }
  boost::asio::post(mContext, [this] { ScheduleNextArrival(); });
}

void
LoadGenerator::SetClientBehaviour(const ClientBehaviour& aClient)
{
  const std::lock_guard lock(mMutex);
  mBehaviour = aClient;
}

void
LoadGenerator::SetEntryNodes(std::vector<core::Address> aEntries)
{
  const std::lock_guard lock(mMutex);
  mEntryNodes = std::move(aEntries);
}

std::size_t
LoadGenerator::EndedCount() const
{
  const std::lock_guard lock(mMutex);
  return mRecords.size();
}

double
LoadGenerator::ElapsedSeconds() const
{
  return std::chrono::duration<double>(core::Clock::now() - mStarted).count();
}

std::vector<OperationRecord>
LoadGenerator::Records() const
{
  const std::lock_guard lock(mMutex);
  return mRecords;
}

std::vector<OperationRecord>
LoadGenerator::RecordsWithUnfinished() const
{
  const std::lock_guard lock(mMutex);
  std::vector<OperationRecord> records = mRecords;
  for (const auto& [id, record] : mUnfinished) {
    records.push_back(record);
  }
  return records;
}

void
LoadGenerator::ScheduleNextArrival()
{
  const std::lock_guard lock(mMutex);
  if (mArrivals.Next() == core::TimePoint::max()) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_at(mArrivals.Next());
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      OnTimer();
    }
  });
}

void
LoadGenerator::OnTimer()
{
  std::vector<core::TimePoint> due;
  {
    const std::lock_guard lock(mMutex);
    const auto now = core::Clock::now();
    while (mArrivals.Next() <= now) {
      due.push_back(mArrivals.Next());
      mArrivals.Advance();
    }
  }
  for (const core::TimePoint arrival : due) {
    StartOperation(arrival);
  }
  ScheduleNextArrival();
}

void
LoadGenerator::StartOperation(core::TimePoint aArrival)
{
  OperationRecord record;
  record.mKind = RandomKind();
  record.mArrival = std::chrono::duration<double>(aArrival - mStarted).count();
  record.mReason = "unfinished";
  ClientBehaviour behaviour;
  {
    const std::lock_guard lock(mMutex);
    record.mId = mSettings.mPrefix + std::to_string(mNextId++);
    behaviour = mBehaviour;
    mUnfinished.emplace(record.mId, record);
  }
  if (++mInProgress > kMaxInProgress) {
    record.mReason = "client_limit";
    Finish(std::move(record));
    return;
  }
  std::make_shared<ClientOperation>(
    *this, behaviour, std::move(record), aArrival)
    ->Start();
}

void
LoadGenerator::Finish(OperationRecord aRecord)
{
  {
    const std::lock_guard lock(mMutex);
    mUnfinished.erase(aRecord.mId);
    mRecords.push_back(std::move(aRecord));
  }
  --mInProgress;
}

core::Address
LoadGenerator::RandomEntryNode()
{
  const std::lock_guard lock(mMutex);
  return mEntryNodes.at(mRandom() % mEntryNodes.size());
}

double
LoadGenerator::Uniform()
{
  const std::lock_guard lock(mMutex);
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

std::size_t
LoadGenerator::RandomKind()
{
  double remaining = Uniform();
  const auto& kinds = mSettings.mSpec.mKinds;
  for (std::size_t i = 0; i + 1 < kinds.size(); ++i) {
    if (remaining < kinds[i].mShare) {
      return i;
    }
    remaining -= kinds[i].mShare;
  }
  return kinds.size() - 1;
}

} // namespace nutmegrock::experiment
