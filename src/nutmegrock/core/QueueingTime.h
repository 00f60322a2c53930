#pragma once

#include <array>
#include <cstddef>

namespace nutmegrock::core {

/// Expected time for which work waits for one of several slots, as a multiple
/// of the time for which it holds one, by the load. Follows Sakasegawa's
/// approximation of M/M/c (1977) up to a load of 0.95, and is linear above, so
/// that it has an inverse and a bounded slope in an overload. Tabulated, since
/// it is evaluated many times per second.
class QueueingTime
{
public:
  /// The function for the power of two next to this number of slots.
  static const QueueingTime& Of(double aSlots);

  /// Waiting time at the load, for loads up to kMaxLoad; higher ones count as
  /// that.
  double WaitAt(double aLoad) const;
  /// Load at which the waiting time is aWait; 0 for a negative one.
  double LoadAt(double aWait) const;

  static constexpr double kMaxLoad = 3;

private:
  static constexpr std::size_t kPoints = 193;
  static constexpr double kStep = kMaxLoad / (kPoints - 1);

  explicit QueueingTime(double aSlots);
  /// Not strictly monotonic below the precision of a double.
  std::array<double, kPoints> mWaits{};
};

/// Expected waiting time in seconds of calls that hold a slot for aSeconds. At
/// loads above 1 not all of them are served, so it also grows by
/// kSecondsPerOverload with the load.
class ExpectedWait
{
public:
  ExpectedWait(const QueueingTime& aQueue, double aSeconds)
    : mQueue(&aQueue)
    , mSeconds(aSeconds)
  {
  }

  double At(double aLoad) const;
  /// Load at which the expected time is this one.
  double LoadAt(double aTime) const;

private:
  const QueueingTime* mQueue;
  double mSeconds;
};

} // namespace nutmegrock::core
