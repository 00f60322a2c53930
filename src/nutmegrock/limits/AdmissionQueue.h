#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "limits/AdmissionRequest.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace nutmegrock::limits {

/// Order of calls of equal importance and depth.
enum class QueueOrder : std::uint8_t
{
  OldestFirst,
  NewestFirst,
  /// Oldest first, but newest first while the admission level is raised.
  NewestFirstUnderOverload
};

struct AdmissionQueueSettings
{
  QueueOrder mOrder = QueueOrder::OldestFirst;
  /// Maximum number of waiting calls over all importances.
  std::uint32_t mMaxWaiting = 1024;

  bool operator==(const AdmissionQueueSettings&) const = default;
};

/// Bounded queue of calls waiting for a slot: by importance, then deeper calls
/// first, then in the order of QueueOrder. Not synchronized.
class AdmissionQueue
{
public:
  /// Expected time at the backend server per importance.
  using ServiceTimes = std::array<core::Duration, core::kImportances>;

  /// A waiting call and its arrival time.
  struct Waiting
  {
    AdmissionRequest mRequest;
    core::TimePoint mArrived;
  };

  /// Fails with InvalidSettings.
  static core::Expected<AdmissionQueue> Create(
    const AdmissionQueueSettings& aSettings);

  /// Adds a call. If the queue is full, the least important call, among equals
  /// the one of the lowest cohort, is evicted and returned; it may be the new
  /// one.
  std::optional<AdmissionRequest> Push(core::TimePoint aNow,
                                       const AdmissionRequest& aRequest);
  /// Removes and returns the next call to run; nullopt if empty.
  std::optional<Waiting> Pop();
  /// Removes a call by id; nullopt if it is not in the queue.
  std::optional<AdmissionRequest> Remove(std::uint64_t aId);
  /// Removes the calls that have reached their maximum wait (QueueTimeout) or
  /// cannot meet their deadline given the expected service time of their
  /// importance (DeadlineExceeded).
  std::vector<std::pair<AdmissionRequest, core::ErrorKind>> Expire(
    core::TimePoint aNow,
    const ServiceTimes& aTimes);
  /// When the next call expires; TimePoint::max() when none waits.
  core::TimePoint NextExpiry(const ServiceTimes& aTimes) const;
  /// Arrival time of the oldest call.
  std::optional<core::TimePoint> OldestArrival() const;

  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mCalls.size());
  }
  /// Sets whether the server is overloaded, for NewestFirstUnderOverload.
  void SetOverloaded(bool aOverloaded);

private:
  /// Position in the run order; sequence numbers increase with arrival.
  struct RunKey
  {
    core::Importance mImportance;
    std::uint32_t mDepth;
    std::uint64_t mSequence;
    auto operator<=>(const RunKey&) const = default;
  };
  /// Position in the eviction order.
  struct EvictKey
  {
    core::Importance mImportance;
    core::Cohort mCohort;
    std::uint64_t mSequence;
    auto operator<=>(const EvictKey&) const = default;
  };
  struct Entry
  {
    Waiting mWaiting;
    std::uint64_t mSequence = 0;
  };

  explicit AdmissionQueue(const AdmissionQueueSettings& aSettings);
  Waiting Take(std::uint64_t aId);

  AdmissionQueueSettings mSettings;
  bool mNewestFirst = false;
  std::uint64_t mSequence = 0;
  std::unordered_map<std::uint64_t, Entry> mCalls;
  std::map<RunKey, std::uint64_t> mRunOrder;
  std::map<EvictKey, std::uint64_t> mEvictOrder;
  using ByTime = std::set<std::pair<core::TimePoint, std::uint64_t>>;
  ByTime mByArrival;
  /// By the end of the maximum wait.
  ByTime mByMaxWait;
  std::array<ByTime, core::kImportances> mByDeadline;
};

} // namespace nutmegrock::limits
