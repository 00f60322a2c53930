#pragma once

#include "quota/AllowanceClient.h"
#include "quota/AllowanceOwner.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace nutmegrock::tests {

/// Nodes with owners and clients of allowances, in simulated time with delayed
/// messages. The views of the members change with the delays of the real
/// membership: a few seconds between nodes, and about ten until a silent member
/// is dropped.
class AllowanceModel
{
public:
  struct TenantUse
  {
    double mRate = 0;
    double mBurst = 0;
    /// Requests per second, each at a random node.
    double mDemand = 0;
    /// One exact bucket, and the times of its refusals.
    std::optional<quota::TokenBucket> mIdeal;
    std::vector<core::TimePoint> mRefusedByIdeal;
    std::vector<core::TimePoint> mExecuted;
    /// Times of refusals at nodes that are connected.
    std::vector<core::TimePoint> mRefusedConnected;
    std::vector<core::TimePoint> mAskedConnected;
  };

  AllowanceModel(unsigned aSeed, std::size_t aNodes, std::size_t aTenants);

  void Run(std::chrono::milliseconds aTime);
  core::TimePoint Now() const { return mNow; }
  /// Tenants in decreasing order of size.
  std::vector<TenantUse>& Tenants() { return mTenants; }
  void SetDemand(std::size_t aTenant, double aDemand);
  void SetLimit(std::size_t aTenant, double aRate, double aBurst);

  std::size_t OwnerOf(std::size_t aTenant) const;
  /// The node does not run any more; the others notice after a while.
  void Kill(std::size_t aNode);
  /// The node announces that it leaves, and stops after a second.
  void Leave(std::size_t aNode);
  /// Replaces a node that has been killed.
  void Restart(std::size_t aNode);
  /// No message reaches or leaves the node; its clients go on asking.
  void CutOff(std::size_t aNode);
  void Reconnect(std::size_t aNode);

  /// Control messages between nodes, requests and responses.
  std::uint64_t Messages() const { return mMessages; }
  /// Those of messages without a tenant.
  std::uint64_t Contacts() const { return mContacts; }
  std::uint64_t Requests() const { return mRequests; }
  /// Largest number of requests executed in any 5 s, as a part of the bound.
  double WorstUse(std::size_t aTenant, core::TimePoint aFrom) const;
  /// Share of a tenant's requests at connected nodes refused in a period, less
  /// the share that one exact bucket would have refused.
  double RefusedShare(std::size_t aTenant,
                      core::TimePoint aFrom,
                      core::TimePoint aTo) const;

private:
  struct Node
  {
    core::Incarnation mIncarnation;
    std::int64_t mJoinedMs = 0;
    bool mRuns = true;
    bool mConnected = true;
    std::unique_ptr<quota::AllowanceOwner> mOwner;
    std::unique_ptr<quota::AllowanceClient> mClient;
    /// Members it sees.
    std::map<core::Incarnation, std::int64_t> mView;
    bool mFlushDue = false;
  };

  using Event = std::function<void()>;

  std::chrono::microseconds Between(double aFromMs, double aToMs);
  void At(core::Duration aDelay, Event aEvent);
  void ScheduleRequest(std::size_t aTenant);
  void SendRequest(std::size_t aTenant);
  void Start(std::size_t aNode);
  /// The view of a node has changed.
  void UpdateView(std::size_t aNode);
  /// Other nodes learn of a change of this node after a random delay.
  void Tell(std::size_t aNode, bool aPresent, double aFromMs, double aToMs);
  void ScheduleFlush(std::size_t aNode);
  void Flush(std::size_t aNode);
  void Send(std::size_t aNode, const quota::AllowanceAsk& aAsk);
  /// Sends requests to cede tenants.
  void SendCedeRequests(std::size_t aNode);
  /// Index of a running node that is connected, or the number of nodes.
  std::size_t IndexOf(core::Incarnation aNode) const;
  void ScheduleTick(std::size_t aNode, core::Incarnation aIncarnation);
  std::vector<quota::TenantLimit> Limits() const;

  struct Entry
  {
    core::TimePoint mAt;
    std::uint64_t mNumber;
    Event mEvent;
    bool operator>(const Entry& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };

  std::mt19937_64 mRandom;
  core::TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextEvent = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> mEvents;
  std::vector<Node> mNodes;
  std::vector<TenantUse> mTenants;
  std::vector<std::uint64_t> mDemandVersion;
  std::uint64_t mMessages = 0;
  std::uint64_t mContacts = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mNextIncarnation = 1;
};

} // namespace nutmegrock::tests
