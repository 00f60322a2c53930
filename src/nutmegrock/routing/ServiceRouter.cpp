#include "routing/ServiceRouter.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::routing {

namespace {

/// The second candidate is taken only when it is less loaded by this share of
/// its slots, so that resends of one identity meet at the same server.
constexpr double kPreferFirst = 0.1;
/// Reported load counts half as much as the own calls in flight.
constexpr double kReportWeight = 0.5;
/// Larger reported loads count as this share; a report may be wrong.
constexpr double kMostReported = 2;

/// Mixes the request hash with an incarnation (the finalizer of MurmurHash3,
/// Appleby).
std::uint64_t
Mix(std::uint64_t aBits)
{
  aBits ^= aBits >> 33U;
  aBits *= 0xff51afd7ed558ccdULL;
  aBits ^= aBits >> 33U;
  aBits *= 0xc4ceb9fe1a85ec53ULL;
  aBits ^= aBits >> 33U;
  return aBits;
}

/// A number in (0, 1) from the upper bits of a hash.
double
UnitOf(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  return (static_cast<double>(aHash >> 11U) + 0.5) * kScale;
}

} // namespace

ServiceRouter::ServiceRouter(const RouterSettings& aSettings)
  : mSettings(aSettings)
  , mJoining(aSettings.mRamp, aSettings.mRampStart)
  , mReturning(aSettings.mReturnRamp, aSettings.mRampStart)
  , mEjection(aSettings.mEjection)
{
}

void
ServiceRouter::Update(const std::vector<Candidate>& aCandidates)
{
  std::vector<Load> loads;
  std::vector<core::Incarnation> incarnations;
  std::unordered_map<std::uint64_t, std::size_t> indexOf;
  for (const Candidate& candidate : aCandidates) {
    const auto known = mIndexOf.find(candidate.mIncarnation.mBits);
    loads.push_back(known == mIndexOf.end() ? Load{}
                                            : mLoads.at(known->second));
    indexOf.emplace(candidate.mIncarnation.mBits, incarnations.size());
    incarnations.push_back(candidate.mIncarnation);
  }
  mCandidates = aCandidates;
  mLoads = std::move(loads);
  mIndexOf = std::move(indexOf);
  mEjection.SetServers(incarnations);
}

void
ServiceRouter::Best::Add(std::size_t aIndex, double aRank)
{
  if (mFirst == kNone || aRank < mFirstRank) {
    mSecond = mFirst;
    mSecondRank = mFirstRank;
    mFirst = aIndex;
    mFirstRank = aRank;
  } else if (mSecond == kNone || aRank < mSecondRank) {
    mSecond = aIndex;
    mSecondRank = aRank;
  }
}

bool
ServiceRouter::IsUsable(core::TimePoint aNow,
                        std::size_t aIndex,
                        std::span<const core::Incarnation> aExcluded) const
{
  const Candidate& candidate = mCandidates.at(aIndex);
  return candidate.mState == CandidateState::Serving &&
         mLoads.at(aIndex).mGoneUntil <= aNow &&
         std::find(aExcluded.begin(),
                   aExcluded.end(),
                   candidate.mIncarnation) == aExcluded.end();
}

double
ServiceRouter::Weight(core::TimePoint aNow, std::size_t aIndex) const
{
  const Candidate& candidate = mCandidates.at(aIndex);
  return std::max(1U, candidate.mSlots) *
         mJoining.Share(aNow, candidate.mJoined) *
         mReturning.Share(aNow, mEjection.ReturnedAt(aIndex));
}

double
ServiceRouter::Rank(core::TimePoint aNow,
                    std::size_t aIndex,
                    std::uint64_t aRequestHash) const
{
  // The smallest of exponentially distributed ranks of rate w falls to each
  // candidate with a share proportional to w.
  const std::uint64_t hash =
    Mix(aRequestHash ^ Mix(mCandidates.at(aIndex).mIncarnation.mBits));
  return -std::log(UnitOf(hash)) / Weight(aNow, aIndex);
}

double
ServiceRouter::Reported(core::TimePoint aNow, std::size_t aIndex) const
{
  const Load& load = mLoads.at(aIndex);
  if (load.mReportedAt <= aNow - mSettings.mReportLifetime) {
    return 0;
  }
  const double age = static_cast<double>((aNow - load.mReportedAt).count()) /
                     static_cast<double>(mSettings.mReportLifetime.count());
  return std::min(load.mReported / 1000.0, kMostReported) * (1 - age);
}

double
ServiceRouter::LoadOf(core::TimePoint aNow, std::size_t aIndex) const
{
  return mEjection.InFlight(aIndex) / Weight(aNow, aIndex) +
         kReportWeight * Reported(aNow, aIndex) +
         mEjection.FailedShare(aNow, aIndex);
}

std::size_t
ServiceRouter::LessLoaded(core::TimePoint aNow, const Best& aBest) const
{
  if (aBest.mSecond == Best::kNone) {
    return aBest.mFirst;
  }
  const bool second =
    LoadOf(aNow, aBest.mSecond) + kPreferFirst < LoadOf(aNow, aBest.mFirst);
  return second ? aBest.mSecond : aBest.mFirst;
}

double
ServiceRouter::SpillShare(double aZoneLoad) const
{
  return std::clamp((aZoneLoad - mSettings.mSpillBegin) /
                      (mSettings.mSpillFull - mSettings.mSpillBegin),
                    0.0,
                    1.0);
}

Choice
ServiceRouter::Make(std::size_t aIndex, bool aProbe) const
{
  const Candidate& candidate = mCandidates.at(aIndex);
  return { candidate.mIncarnation, candidate.mPeer, aProbe };
}

std::optional<std::size_t>
ServiceRouter::Probe(core::TimePoint aNow,
                     std::span<const core::Incarnation> aExcluded)
{
  if (mEjection.Ejected() == 0 || ++mSinceProbe < mSettings.mProbeEvery) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    if (mEjection.IsProbeDue(aNow, i) && IsUsable(aNow, i, aExcluded)) {
      mSinceProbe = 0;
      return i;
    }
  }
  return std::nullopt;
}

std::optional<Choice>
ServiceRouter::Choose(core::TimePoint aNow,
                      std::uint64_t aRequestHash,
                      std::string_view aZone,
                      std::span<const core::Incarnation> aExcluded)
{
  if (const auto probe = Probe(aNow, aExcluded)) {
    return Make(*probe, true);
  }
  Best all;
  Best near;
  Best ejected;
  double zoneSlots = 0;
  double zoneUsed = 0;
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    if (!IsUsable(aNow, i, aExcluded)) {
      continue;
    }
    const double rank = Rank(aNow, i, aRequestHash);
    if (mEjection.IsEjected(aNow, i)) {
      ejected.Add(i, rank);
      continue;
    }
    all.Add(i, rank);
    if (mCandidates.at(i).mZone == aZone) {
      near.Add(i, rank);
      const double slots = std::max(1U, mCandidates.at(i).mSlots);
      zoneSlots += slots;
      zoneUsed +=
        std::max<double>(mEjection.InFlight(i), slots * Reported(aNow, i));
    }
  }
  if (all.mFirst == Best::kNone) {
    // A server that looks bad is better than none.
    if (ejected.mFirst == Best::kNone) {
      return std::nullopt;
    }
    return Make(LessLoaded(aNow, ejected), false);
  }
  if (near.mFirst != Best::kNone) {
    const double spill = SpillShare(zoneUsed / zoneSlots);
    if (UnitOf(Mix(aRequestHash)) >= spill) {
      return Make(LessLoaded(aNow, near), false);
    }
  }
  return Make(LessLoaded(aNow, all), false);
}

void
ServiceRouter::OnStart(core::TimePoint aNow, core::Incarnation aIncarnation)
{
  const auto found = mIndexOf.find(aIncarnation.mBits);
  if (found != mIndexOf.end()) {
    mEjection.OnStart(aNow, found->second);
  }
}

void
ServiceRouter::OnEnd(core::TimePoint aNow,
                     core::Incarnation aIncarnation,
                     AttemptOutcome aOutcome,
                     core::Duration aLatency,
                     const core::CallFeedback* aFeedback)
{
  const auto found = mIndexOf.find(aIncarnation.mBits);
  if (found == mIndexOf.end()) {
    return;
  }
  mEjection.OnEnd(aNow, found->second, aOutcome, aLatency);
  Load& load = mLoads.at(found->second);
  if (aOutcome == AttemptOutcome::Gone) {
    load.mGoneUntil = aNow + mSettings.mGoneFor;
  }
  if (aFeedback != nullptr) {
    load.mReported = aFeedback->mLoadPermille;
    load.mReportedAt = aNow;
  }
}

std::uint32_t
ServiceRouter::Available(core::TimePoint aNow,
                         std::span<const core::Incarnation> aExcluded) const
{
  std::uint32_t count = 0;
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    count += IsUsable(aNow, i, aExcluded) ? 1 : 0;
  }
  return count;
}

} // namespace nutmegrock::routing
