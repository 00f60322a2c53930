#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "routing/Candidate.h"
#include "routing/Ejection.h"
#include "routing/RouterSettings.h"
#include "routing/SlowStart.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routing {

/// Chooses among the backend servers of one service. Not synchronized; Router
/// holds the lock of its shard.
class ServiceRouter
{
public:
  explicit ServiceRouter(const RouterSettings& aSettings);

  void Update(const std::vector<Candidate>& aCandidates);
  /// As Router::Choose(); does not allocate. Nothing when there is no server.
  std::optional<Choice> Choose(core::TimePoint aNow,
                               std::uint64_t aRequestHash,
                               std::string_view aZone,
                               std::span<const core::Incarnation> aExcluded);
  void OnStart(core::TimePoint aNow, core::Incarnation aIncarnation);
  void OnEnd(core::TimePoint aNow,
             core::Incarnation aIncarnation,
             AttemptOutcome aOutcome,
             core::Duration aLatency,
             const core::CallFeedback* aFeedback);
  std::uint32_t Available(core::TimePoint aNow,
                          std::span<const core::Incarnation> aExcluded) const;
  const std::vector<Candidate>& Candidates() const { return mCandidates; }
  const Ejection& Ejections() const { return mEjection; }

private:
  /// What is known about a candidate beside its health.
  struct Load
  {
    std::uint32_t mReported = 0;
    core::TimePoint mReportedAt = core::TimePoint::min();
    /// It has refused a call since it is leaving; the member table lags.
    core::TimePoint mGoneUntil = core::TimePoint::min();
  };
  /// The two best of some candidates by rendezvous rank; smaller is better.
  struct Best
  {
    static constexpr std::size_t kNone = SIZE_MAX;
    std::size_t mFirst = kNone;
    std::size_t mSecond = kNone;
    double mFirstRank = 0;
    double mSecondRank = 0;

    void Add(std::size_t aIndex, double aRank);
  };

  bool IsUsable(core::TimePoint aNow,
                std::size_t aIndex,
                std::span<const core::Incarnation> aExcluded) const;
  /// Rank of a candidate for a request, by weighted rendezvous hash.
  double Rank(core::TimePoint aNow,
              std::size_t aIndex,
              std::uint64_t aRequestHash) const;
  double Weight(core::TimePoint aNow, std::size_t aIndex) const;
  /// Reported load as a share, fading with its age.
  double Reported(core::TimePoint aNow, std::size_t aIndex) const;
  /// Load for the comparison of two candidates.
  double LoadOf(core::TimePoint aNow, std::size_t aIndex) const;
  std::optional<std::size_t> Probe(
    core::TimePoint aNow,
    std::span<const core::Incarnation> aExcluded);
  std::size_t LessLoaded(core::TimePoint aNow, const Best& aBest) const;
  /// Share of requests that leave the own zone at this load.
  double SpillShare(double aZoneLoad) const;
  Choice Make(std::size_t aIndex, bool aProbe) const;

  RouterSettings mSettings;
  SlowStart mJoining;
  SlowStart mReturning;
  std::vector<Candidate> mCandidates;
  std::vector<Load> mLoads;
  std::unordered_map<std::uint64_t, std::size_t> mIndexOf;
  Ejection mEjection;
  std::uint32_t mSinceProbe = 0;
};

} // namespace nutmegrock::routing
