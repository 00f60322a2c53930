#include "tests/routing/CapacityModel.h"

#include "gateway/RouterDefaults.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <numeric>
#include <utility>

namespace nutmegrock::tests {

namespace {

constexpr std::size_t kEntries = 12;
constexpr std::chrono::milliseconds kTick{ 20 };
constexpr std::chrono::milliseconds kNetworkTime{ 1 };
constexpr std::chrono::milliseconds kDeadline{ 1'000 };
constexpr std::size_t kMaxAttempts = 3;
/// Mean work of the two kinds of requests in seconds.
constexpr std::array<double, 2> kWork = { 0.030, 0.080 };
constexpr double kMeanWork = (kWork[0] + kWork[1]) / 2;
/// Sigma of the lognormal distribution of the work.
constexpr double kSigma = 0.6;
constexpr double kNoise = 0.1;
constexpr double kVariation = 0.25;

core::Duration
DurationOf(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

CapacityModel::CapacityModel(unsigned aSeed,
                             const std::vector<ModelServer>& aServers,
                             bool aReports)
  : mReports(aReports)
  , mRandom(aSeed)
{
  std::vector<routing::Candidate> candidates;
  for (const ModelServer& model : aServers) {
    mServers.emplace_back();
    mServers.back().mModel = model;
    mServers.back().mQueue.SetSlots(kSlots);
    candidates.push_back({ core::Incarnation{ mServers.size() },
                           { "10.0.0.1", 1 },
                           "a",
                           kSlots,
                           routing::CandidateState::Serving,
                           mNow - std::chrono::hours(1) });
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    mEntries.push_back(
      std::move(*routing::Router::Create(gateway::RouterDefaults())));
    mEntries.back()->Update(mNow, "service", candidates);
  }
}

void
CapacityModel::At(core::TimePoint aAt, std::function<void()> aAction)
{
  mEvents.push({ aAt, mNextEvent++, std::move(aAction) });
}

double
CapacityModel::ReportedFactor(std::size_t aServer) const
{
  const Server& server = mServers[aServer];
  const double seconds =
    std::chrono::duration<double>(mNow.time_since_epoch()).count();
  const double period = 4 + static_cast<double>(aServer % 5);
  const double variation =
    1 + kVariation *
          std::sin(2 * M_PI * seconds / period + static_cast<double>(aServer));
  return server.mNoise * variation / server.mModel.mSpeed;
}

CapacityModel::Result
CapacityModel::Run(core::Duration aTime, double aLoad)
{
  double capacity = 0;
  for (Server& server : mServers) {
    capacity += kSlots * server.mModel.mSpeed / server.mModel.mSlowdown;
    server.mRuns = 0;
  }
  mCountFrom = mNow;
  mTimesMs.clear();
  mAsked = 0;
  mLost = 0;
  const core::TimePoint end = mNow + aTime;
  At(mNow,
     [this, end, rate = aLoad * capacity / kMeanWork] { Arrive(rate, end); });
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    while (mTickAt <= event.mAt) {
      mNow = mTickAt;
      Tick();
      mTickAt += kTick;
    }
    mNow = event.mAt;
    event.mAction();
  }
  mNow = end;
  Result result;
  std::sort(mTimesMs.begin(), mTimesMs.end());
  REQUIRE(!mTimesMs.empty());
  const auto count = static_cast<double>(mTimesMs.size());
  result.mMeanMs =
    std::accumulate(mTimesMs.begin(), mTimesMs.end(), 0.0) / count;
  result.mP99Ms = mTimesMs[static_cast<std::size_t>(count * 0.99)];
  result.mLost = static_cast<double>(mLost) / static_cast<double>(mAsked);
  double runs = 0;
  for (const Server& server : mServers) {
    runs += static_cast<double>(server.mRuns);
  }
  for (const Server& server : mServers) {
    result.mShares.push_back(static_cast<double>(server.mRuns) / runs);
  }
  return result;
}

void
CapacityModel::Arrive(double aRate, core::TimePoint aEnd)
{
  const std::size_t kind = mRandom() % kWork.size();
  std::lognormal_distribution<double> work(
    std::log(kWork.at(kind)) - kSigma * kSigma / 2, kSigma);
  const std::uint64_t id = mNextRequest++;
  Request request;
  request.mArrived = mNow;
  request.mHash = mRandom();
  request.mEntry = mRandom() % kEntries;
  request.mWorkSeconds = work(mRandom);
  request.mKind = kind + 1;
  mRequests.emplace(id, request);
  ++mAsked;
  Send(id);
  std::exponential_distribution<double> gap(aRate);
  const core::TimePoint next = mNow + DurationOf(gap(mRandom));
  if (next < aEnd) {
    At(next, [this, aRate, aEnd] { Arrive(aRate, aEnd); });
  }
}

void
CapacityModel::Send(std::uint64_t aId)
{
  Request& request = mRequests.at(aId);
  routing::Router& router = *mEntries[request.mEntry];
  const auto choice =
    router.Choose(mNow, "service", request.mHash, "a", request.mTried);
  if (!choice || request.mTried.size() >= kMaxAttempts) {
    mLost += request.mArrived >= mCountFrom ? 1 : 0;
    mRequests.erase(aId);
    return;
  }
  request.mServer = choice->mIncarnation.mBits - 1;
  request.mTried.push_back(choice->mIncarnation);
  request.mSentAt = mNow;
  router.OnStart(
    mNow, choice->mIncarnation, DurationOf(kWork.at(request.mKind - 1)));
  At(mNow + kNetworkTime, [this, aId] {
    const Request& arrived = mRequests.at(aId);
    Server& server = mServers[arrived.mServer];
    overload::WorkItem item;
    item.mId = aId;
    item.mDeadline = arrived.mArrived + kDeadline;
    item.mTypicalTime = DurationOf(server.mTypical[arrived.mKind]);
    const auto admitted = server.mQueue.Offer(mNow, item);
    if (!admitted) {
      Refuse(aId);
    } else if (*admitted) {
      Start(aId);
    }
  });
}

void
CapacityModel::Start(std::uint64_t aId)
{
  Request& request = mRequests.at(aId);
  Server& server = mServers[request.mServer];
  ++server.mRuns;
  request.mStartedAt = mNow;
  const double factor =
    ReportedFactor(request.mServer) * server.mModel.mSlowdown;
  At(mNow + DurationOf(request.mWorkSeconds * factor),
     [this, aId] { End(aId); });
}

core::CallFeedback
CapacityModel::FeedbackOf(const Request& aRequest)
{
  Server& server = mServers[aRequest.mServer];
  core::CallFeedback feedback;
  feedback.mLoadPermille =
    static_cast<std::uint32_t>(server.mQueue.Load(mNow) * 1000);
  feedback.mOccupancyPermille =
    static_cast<std::uint32_t>(server.mQueue.Occupancy() * 1000);
  if (mReports) {
    feedback.mWorkPercent = server.mWorkTime.Percent(mNow);
    feedback.mWorkKind = aRequest.mKind;
    feedback.mRunTime = std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow - aRequest.mStartedAt);
  }
  return feedback;
}

void
CapacityModel::End(std::uint64_t aId)
{
  Request& request = mRequests.at(aId);
  Server& server = mServers[request.mServer];
  if (mReports) {
    const ModelServer& model = server.mModel;
    server.mWorkTime.OnReport(mNow,
                              model.mWrongPercent != 0
                                ? model.mWrongPercent
                                : static_cast<std::uint32_t>(std::lround(
                                    100 * ReportedFactor(request.mServer))));
    server.mQueue.SetWorkTime(server.mWorkTime.Factor(mNow));
  }
  const double seconds =
    std::chrono::duration<double>(mNow - request.mStartedAt).count() /
    server.mWorkTime.Factor(mNow);
  double& typical = server.mTypical[request.mKind];
  constexpr double kWeight = 0.05;
  typical = typical == 0 ? seconds : typical + kWeight * (seconds - typical);
  const auto changes = server.mQueue.OnEnd(mNow);
  At(mNow + kNetworkTime, [this, aId, feedback = FeedbackOf(request)] {
    const Request& ended = mRequests.at(aId);
    mEntries[ended.mEntry]->OnEnd(mNow,
                                  ended.mTried.back(),
                                  routing::AttemptOutcome::Ok,
                                  mNow - ended.mSentAt,
                                  &feedback,
                                  ended.mStartedAt - ended.mSentAt);
    if (ended.mArrived >= mCountFrom) {
      const core::Duration time = mNow - ended.mArrived;
      if (time > kDeadline) {
        ++mLost;
      } else {
        mTimesMs.push_back(
          std::chrono::duration<double, std::milli>(time).count());
      }
    }
    mRequests.erase(aId);
  });
  Apply(changes);
}

void
CapacityModel::Refuse(std::uint64_t aId)
{
  At(mNow + kNetworkTime,
     [this, aId, feedback = FeedbackOf(mRequests.at(aId))] {
       const Request& request = mRequests.at(aId);
       mEntries[request.mEntry]->OnEnd(mNow,
                                       request.mTried.back(),
                                       routing::AttemptOutcome::Refused,
                                       mNow - request.mSentAt,
                                       &feedback);
       Send(aId);
     });
}

void
CapacityModel::Apply(const overload::WorkChanges& aChanges)
{
  for (const std::uint64_t id : aChanges.mExpired) {
    Refuse(id);
  }
  for (const std::uint64_t id : aChanges.mToStart) {
    Start(id);
  }
}

void
CapacityModel::Tick()
{
  std::uniform_real_distribution<double> noise(1 - kNoise, 1 + kNoise);
  for (Server& server : mServers) {
    server.mNoise = noise(mRandom);
    server.mQueue.SetWorkTime(server.mWorkTime.Factor(mNow));
    Apply(server.mQueue.Tick(mNow));
  }
}

} // namespace nutmegrock::tests
