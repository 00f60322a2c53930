#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "core/QueueingTime.h"
#include "routing/Candidate.h"
#include "routing/Ejection.h"
#include "routing/RouterSettings.h"
#include "routing/ServerSpeeds.h"
#include "routing/SlowStart.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routing {

/// Chooses among the backend servers of one service. Not synchronized; Router
/// holds the lock of its shard.
class ServiceRouter
{
public:
  ServiceRouter(const RouterSettings& aSettings, EjectionHook aOnEjection);

  void Update(const std::vector<Candidate>& aCandidates);
  /// As Router::Choose(); does not allocate. Returns nullopt if there is no
  /// server. Scans all candidates, but computes a logarithm only for those that
  /// may be among the two best, about 2 ln(n) of n.
  std::optional<Choice> Choose(core::TimePoint aNow,
                               std::uint64_t aRequestHash,
                               std::string_view aZone,
                               std::span<const core::Incarnation> aExcluded,
                               double aPrice = 0);
  void OnStart(core::TimePoint aNow,
               core::Incarnation aIncarnation,
               std::optional<core::Duration> aTypicalTime);
  void OnEnd(core::TimePoint aNow,
             core::Incarnation aIncarnation,
             AttemptOutcome aOutcome,
             core::Duration aLatency,
             const core::CallFeedback* aFeedback,
             core::Duration aQueueTime);
  std::uint32_t Available(core::TimePoint aNow,
                          std::span<const core::Incarnation> aExcluded) const;
  const std::vector<Candidate>& Candidates() const { return mCandidates; }
  const Ejection& Ejections() const { return mEjection; }

private:
  /// State of a candidate that Choose() reads, stored contiguously for the
  /// scan.
  struct Entry
  {
    /// Hash of the incarnation.
    std::uint64_t mHash = 0;
    /// Slots after slow start.
    double mSlots = 1;
    /// Work finished per second after slow start: slots times speed.
    double mWeight = 1;
    /// Index in mZones.
    std::uint32_t mZone = 0;
    bool mServing = false;
    bool mEjected = false;
    /// Excluded until then: it refused a call because it is leaving, and the
    /// member table lags.
    core::TimePoint mUnavailableUntil = core::TimePoint::min();
    /// End of slow start.
    core::TimePoint mRampUntil = core::TimePoint::min();
    std::uint32_t mReportedPermille = 0;
    std::uint32_t mOccupancyPermille = 0;
    core::TimePoint mReportedAt = core::TimePoint::min();
  };
  /// The two best candidates by rendezvous rank; smaller is better.
  struct Best
  {
    static constexpr std::size_t kNone = SIZE_MAX;
    std::size_t mFirst = kNone;
    std::size_t mSecond = kNone;
    double mFirstRank = 0;
    double mSecondRank = 0;

    /// Returns true if a rank of at least aLowerBound may be among the two.
    bool MayTake(double aLowerBound) const
    {
      return mSecond == kNone || aLowerBound < mSecondRank;
    }
    void Add(std::size_t aIndex, double aRank);
  };
  /// Load of the servers in one availability zone.
  struct ZoneLoad
  {
    double mSlots = 0;
    /// Capacity of the servers of which the load is known, or of all if none
    /// is.
    double mCapacity = 0;
    double mUsed = 0;
    /// Used share of the capacity. The reported demand, not the occupancy: a
    /// server may be crowded by calls that wait for a service below, and
    /// leaving the zone does not help them.
    double mLoad = 0;
    /// Share of the requests that leaves the zone.
    double mSpill = 0;
  };
  /// Ranking of the usable candidates for one request.
  struct Ranking
  {
    Best mAll;
    Best mOwnZone;
    /// Servers of zones that are less loaded than the own one, weighted by the
    /// difference.
    Best mOtherZones;
    Best mEjected;
  };

  bool IsUsable(core::TimePoint aNow,
                std::size_t aIndex,
                std::span<const core::Incarnation> aExcluded) const;
  Ranking Rank(core::TimePoint aNow,
               std::uint64_t aRequestHash,
               std::uint32_t aZone,
               std::span<const core::Incarnation> aExcluded) const;
  /// Ejects the ranked servers whose calls are overdue. Returns true if any was
  /// ejected.
  bool EjectOverdue(core::TimePoint aNow, const Best& aBest);
  double Weight(core::TimePoint aNow, std::size_t aIndex) const;
  /// A value of the last report as a share, decaying with its age.
  double ReportedShare(core::TimePoint aNow,
                       std::size_t aIndex,
                       std::uint32_t aPermille) const;
  /// Load for the comparison of two candidates.
  double LoadOf(core::TimePoint aNow, std::size_t aIndex) const;
  std::optional<std::size_t> ChooseProbe(
    core::TimePoint aNow,
    std::span<const core::Incarnation> aExcluded);
  std::size_t LessLoaded(core::TimePoint aNow, const Best& aBest) const;
  std::uint32_t ZoneIndex(std::string_view aZone) const;
  /// Updates mZoneLoads, at most every 20 ms.
  void UpdateZoneLoads(core::TimePoint aNow);
  /// Share of requests that leaves the zone at its present load.
  double SpillShare(std::uint32_t aZone) const;
  /// Difference by which the zone is less loaded than aFrom, at least 0.
  double LoadDifference(std::uint32_t aZone, std::uint32_t aFrom) const;
  /// Sets the load of a zone of which no server has reported one. aKnown is the
  /// mean load of the others.
  static void AssumeLoad(double aKnown, ZoneLoad& aZone);
  /// Expected waiting time of a typical call in the zone, in seconds.
  double ExpectedWait(const ZoneLoad& aZone) const;
  Choice MakeChoice(std::size_t aIndex, bool aProbe) const;
  /// Updates the ejection state and the ramp of an entry.
  void RefreshEntry(std::size_t aIndex);
  void RefreshWeight(core::TimePoint aNow, std::size_t aIndex);

  RouterSettings mSettings;
  SlowStart mJoining;
  SlowStart mReturning;
  std::vector<Candidate> mCandidates;
  std::vector<Entry> mEntries;
  /// Zones known so far; a zone without servers keeps its index.
  std::vector<std::string> mZones;
  std::unordered_map<std::uint64_t, std::size_t> mIndexOf;
  Ejection mEjection;
  ServerSpeeds mSpeeds;
  std::uint32_t mRequestsSinceProbe = 0;
  /// By index in mZones.
  std::vector<ZoneLoad> mZoneLoads;
  double mTypicalSeconds = 0;
  core::TimePoint mZoneLoadsAt = core::TimePoint::min();
};

} // namespace nutmegrock::routing
