#pragma once

#include "core/Time.h"
#include "overload/WorkQueue.h"
#include "overload/WorkTime.h"
#include "routing/Router.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace nutmegrock::tests {

/// A backend server of the model.
struct ModelServer
{
  /// Work per second relative to a usual server, as the server reports it.
  double mSpeed = 1;
  /// Factor by which work takes longer than the server reports.
  double mSlowdown = 1;
  /// Percentage that the server reports instead of the right one, if not 0.
  std::uint32_t mWrongPercent = 0;
};

/// Discrete-event model of one service in virtual time, around the real router,
/// work queues and reports of the servers. Each of several entry nodes sends
/// the requests that reach it to a server of its choice, and those that were
/// refused before they ran to up to two others. The speed of each server varies
/// by a quarter within some seconds, and by a tenth every 20 ms.
class CapacityModel
{
public:
  struct Result
  {
    double mMeanMs = 0;
    double mP99Ms = 0;
    /// Share of the requests that were not served in time.
    double mLost = 0;
    /// Share of the requests that each server ran.
    std::vector<double> mShares;
  };

  /// aReports: the servers report how long their work takes.
  CapacityModel(unsigned aSeed,
                const std::vector<ModelServer>& aServers,
                bool aReports);

  ModelServer& ServerAt(std::size_t aIndex)
  {
    return mServers.at(aIndex).mModel;
  }
  /// Runs with a demand of aLoad of the capacity that the servers have at the
  /// beginning, and returns what happened to the requests of this time.
  Result Run(core::Duration aTime, double aLoad);

  static constexpr std::uint32_t kSlots = 10;

private:
  struct Request
  {
    core::TimePoint mArrived;
    std::uint64_t mHash = 0;
    std::size_t mEntry = 0;
    double mWorkSeconds = 0;
    std::uint64_t mKind = 0;
    std::vector<core::Incarnation> mTried;
    std::size_t mServer = 0;
    core::TimePoint mSentAt;
    core::TimePoint mStartedAt;
  };
  struct Server
  {
    ModelServer mModel;
    overload::WorkQueue mQueue;
    overload::WorkTime mWorkTime;
    /// Learned typical seconds by kind.
    std::unordered_map<std::uint64_t, double> mTypical;
    double mNoise = 1;
    std::uint64_t mRuns = 0;
  };
  struct Event
  {
    core::TimePoint mAt;
    std::uint64_t mNumber = 0;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  void At(core::TimePoint aAt, std::function<void()> aAction);
  void Arrive(double aRate, core::TimePoint aEnd);
  void Send(std::uint64_t aId);
  void Start(std::uint64_t aId);
  void End(std::uint64_t aId);
  void Refuse(std::uint64_t aId);
  void Apply(const overload::WorkChanges& aChanges);
  void Tick();
  /// Factor by which work takes longer now, as reported.
  double ReportedFactor(std::size_t aServer) const;
  core::CallFeedback FeedbackOf(const Request& aRequest);

  const bool mReports;
  std::mt19937_64 mRandom;
  core::TimePoint mNow{ std::chrono::hours(1) };
  core::TimePoint mTickAt = mNow;
  std::vector<Server> mServers;
  std::vector<std::unique_ptr<routing::Router>> mEntries;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEvent = 0;
  std::uint64_t mNextRequest = 1;
  std::unordered_map<std::uint64_t, Request> mRequests;
  core::TimePoint mCountFrom;
  std::vector<double> mTimesMs;
  std::uint64_t mAsked = 0;
  std::uint64_t mLost = 0;
};

} // namespace nutmegrock::tests
