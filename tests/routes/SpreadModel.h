#pragma once

#include "core/Time.h"
#include "routes/Freshness.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace nutmegrock::tests {

/// Nodes that follow a store in simulated time while all connections on which
/// they watch it are silent. Datagrams and requests between nodes are delayed
/// and may be lost; nodes that have failed are still among the recipients.
class SpreadModel
{
public:
  struct Settings
  {
    std::size_t mNodes = 15;
    /// The first nodes fail.
    std::size_t mFailed = 0;
    /// Share of the datagrams between nodes that are lost.
    double mLoss = 0;
    /// Requests for the routes of another node are answered.
    bool mPulls = true;
    /// Minimum and maximum delay of one message.
    core::Duration mMinDelay = std::chrono::microseconds(100);
    core::Duration mMaxDelay = std::chrono::milliseconds(60);
    /// When a node reads the store, by its rank. Empty for routes::Freshness.
    std::function<core::Duration(std::size_t)> mReadInterval;
    std::uint64_t mSeed = 1;
  };

  explicit SpreadModel(Settings aSettings);

  /// Publishes a version at each of these times and runs until the end.
  void Run(const std::vector<core::Duration>& aPublishedAt,
           core::Duration aEnd);

  /// Longest time from the acknowledgement of a version until a node that has
  /// not failed had it, or a later one, in force; that to the end if it never
  /// had.
  core::Duration LongestLag() const { return mLongestLag; }
  /// Reads of the store in its busiest second, and in the mean second.
  std::size_t PeakReads() const;
  double MeanReads() const;

private:
  struct Node
  {
    std::optional<routes::Freshness> mFreshness;
    bool mReading = false;
    std::uint64_t mVersion = 0;
  };
  using Action = std::function<void()>;

  void At(core::TimePoint aTime, Action aAction);
  core::Duration Delay();
  bool IsAlive(std::size_t aNode) const { return aNode >= mSettings.mFailed; }
  void ScheduleRead(std::size_t aNode);
  void ReadIfDue(std::size_t aNode);
  void Read(std::size_t aNode);
  /// Notifies others, if the node is to pass on a confirmation.
  void OnConfirmed(std::size_t aNode, bool aPassOn);
  void PutInForce(std::size_t aNode, std::uint64_t aVersion);
  void Notify(std::size_t aNode, std::size_t aRecipients);
  void Receive(std::size_t aNode,
               std::size_t aFrom,
               std::uint64_t aVersion,
               const routes::Confirmation& aConfirmation);

  const Settings mSettings;
  std::mt19937_64 mRandom;
  std::vector<Node> mNodes;
  std::multimap<core::TimePoint, Action> mActions;
  core::TimePoint mNow;
  std::uint64_t mVersion = 1;
  std::vector<core::TimePoint> mPublishedAt;
  std::vector<core::TimePoint> mReads;
  core::Duration mLongestLag{ 0 };
};

} // namespace nutmegrock::tests
