#include "routing/ServiceRouter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::routing {

namespace {

/// The second candidate is chosen only if its load is lower by this share of
/// its slots, so that resends of a request go to the same server.
constexpr double kFirstPreference = 0.1;
/// Weight of the reported load relative to the own calls in flight.
constexpr double kReportWeight = 0.5;
/// Maximum for reported loads, as a share; a report may be wrong.
constexpr double kMaxReported = 2;

/// Minimum time between two updates of the zone loads.
constexpr std::chrono::milliseconds kSpillInterval{ 20 };
/// Difference of load above which another zone gets no more weight.
constexpr double kMaxLoadDifference = 1;
/// Capacity of a zone without servers, which prevents a division by zero; below
/// that of one slot at the lowest speed.
constexpr double kMinCapacity = 0.1;
/// Load of a zone without a fresh report: this, or slightly less than that of
/// the known zones if it is higher. A zone that is more loaded sends a few
/// calls there, and their responses tell its load.
constexpr double kUnknownLoad = 0.9;
constexpr double kUnknownDifference = 0.03;
/// Share of the slots of a zone that work as one pool; see ZonePlacement.
constexpr double kPooledShare = 0.5;
/// Maximum number of steps combined after a period without requests.
constexpr double kMaxSpillSteps = 10;

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

/// Maps the upper bits of a hash to (0, 1).
double
ToUnitInterval(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  return (static_cast<double>(aHash >> 11U) + 0.5) * kScale;
}

} // namespace

ServiceRouter::ServiceRouter(const RouterSettings& aSettings,
                             EjectionHook aOnEjection)
  : mSettings(aSettings)
  , mJoining(aSettings.mRamp, aSettings.mRampStart)
  , mReturning(aSettings.mReturnRamp, aSettings.mRampStart)
  , mEjection(aSettings.mEjection, std::move(aOnEjection))
{
}

void
ServiceRouter::Update(const std::vector<Candidate>& aCandidates)
{
  std::vector<Entry> entries;
  std::vector<core::Incarnation> incarnations;
  std::unordered_map<std::uint64_t, std::size_t> indexOf;
  for (const Candidate& candidate : aCandidates) {
    const std::uint64_t bits = candidate.mIncarnation.mBits;
    const auto known = mIndexOf.find(bits);
    Entry entry =
      known == mIndexOf.end() ? Entry{} : mEntries.at(known->second);
    entry.mHash = Mix(bits);
    const double speed = entry.mWeight / entry.mSlots;
    entry.mSlots = std::max(1U, candidate.mSlots);
    entry.mWeight = entry.mSlots * speed;
    const bool serving = candidate.mState == CandidateState::Serving;
    if (serving && !entry.mServing) {
      // The leave was that of a server before.
      entry.mUnavailableUntil = core::TimePoint::min();
    }
    entry.mServing = serving;
    entry.mZone = ZoneIndex(candidate.mZone);
    if (entry.mZone == mZones.size()) {
      mZones.push_back(candidate.mZone);
    }
    entries.push_back(entry);
    indexOf.emplace(bits, incarnations.size());
    incarnations.push_back(candidate.mIncarnation);
  }
  mCandidates = aCandidates;
  mEntries = std::move(entries);
  mIndexOf = std::move(indexOf);
  mZoneLoadsAt = core::TimePoint::min();
  mEjection.SetServers(incarnations);
  mSpeeds.SetServers(incarnations);
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    RefreshEntry(i);
  }
}

void
ServiceRouter::RefreshEntry(std::size_t aIndex)
{
  Entry& entry = mEntries.at(aIndex);
  entry.mEjected = mEjection.IsMarkedEjected(aIndex);
  entry.mRampUntil =
    std::max(mCandidates.at(aIndex).mJoined + mSettings.mRamp,
             mEjection.ReturnedAt(aIndex) + mSettings.mReturnRamp);
}

void
ServiceRouter::RefreshWeight(core::TimePoint aNow, std::size_t aIndex)
{
  Entry& entry = mEntries.at(aIndex);
  entry.mWeight = entry.mSlots * mSpeeds.Speed(aNow, aIndex);
}

std::uint32_t
ServiceRouter::ZoneIndex(std::string_view aZone) const
{
  const auto found = std::find(mZones.begin(), mZones.end(), aZone);
  return static_cast<std::uint32_t>(found - mZones.begin());
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
  const Entry& entry = mEntries[aIndex];
  return entry.mServing && entry.mUnavailableUntil <= aNow &&
         (aExcluded.empty() ||
          std::find(aExcluded.begin(),
                    aExcluded.end(),
                    mCandidates[aIndex].mIncarnation) == aExcluded.end());
}

double
ServiceRouter::Weight(core::TimePoint aNow, std::size_t aIndex) const
{
  const Entry& entry = mEntries[aIndex];
  if (aNow >= entry.mRampUntil) {
    return entry.mWeight;
  }
  return entry.mWeight * mJoining.Share(aNow, mCandidates[aIndex].mJoined) *
         mReturning.Share(aNow, mEjection.ReturnedAt(aIndex));
}

ServiceRouter::Ranking
ServiceRouter::Rank(core::TimePoint aNow,
                    std::uint64_t aRequestHash,
                    std::uint32_t aZone,
                    std::span<const core::Incarnation> aExcluded) const
{
  // With exponentially distributed ranks of rate w, a candidate has the
  // smallest rank with a probability proportional to w.
  Ranking ranking;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (!IsUsable(aNow, i, aExcluded)) {
      continue;
    }
    const Entry& entry = mEntries[i];
    const double unit = ToUnitInterval(Mix(aRequestHash ^ entry.mHash));
    const double weight = Weight(aNow, i);
    // -ln(u) is at least 1 - u.
    const double bound = (1 - unit) / weight;
    Best& best = entry.mEjected ? ranking.mEjected : ranking.mAll;
    const bool near = !entry.mEjected && entry.mZone == aZone;
    if (best.MayTake(bound) || (near && ranking.mOwnZone.MayTake(bound))) {
      const double rank = -std::log(unit) / weight;
      best.Add(i, rank);
      if (near) {
        ranking.mOwnZone.Add(i, rank);
      }
    }
    const double difference =
      near || entry.mEjected ? 0 : LoadDifference(entry.mZone, aZone);
    if (difference > 0) {
      ranking.mOtherZones.Add(i, -std::log(unit) / (weight * difference));
    }
  }
  return ranking;
}

bool
ServiceRouter::EjectOverdue(core::TimePoint aNow, const Best& aBest)
{
  bool any = false;
  for (const std::size_t index : { aBest.mFirst, aBest.mSecond }) {
    if (index != Best::kNone && mEjection.IsEjected(aNow, index)) {
      RefreshEntry(index);
      any = true;
    }
  }
  return any;
}

double
ServiceRouter::ReportedShare(core::TimePoint aNow,
                             std::size_t aIndex,
                             std::uint32_t aPermille) const
{
  const Entry& entry = mEntries[aIndex];
  if (entry.mReportedAt <= aNow - mSettings.mReportLifetime) {
    return 0;
  }
  const double age = static_cast<double>((aNow - entry.mReportedAt).count()) /
                     static_cast<double>(mSettings.mReportLifetime.count());
  return std::min(aPermille / 1000.0, kMaxReported) * (1 - age);
}

double
ServiceRouter::LoadOf(core::TimePoint aNow, std::size_t aIndex) const
{
  const Entry& entry = mEntries[aIndex];
  const std::uint32_t crowded =
    std::max(entry.mReportedPermille, entry.mOccupancyPermille);
  return mEjection.InFlight(aIndex) / Weight(aNow, aIndex) +
         kReportWeight * ReportedShare(aNow, aIndex, crowded) +
         mEjection.FailedShare(aNow, aIndex);
}

std::size_t
ServiceRouter::LessLoaded(core::TimePoint aNow, const Best& aBest) const
{
  if (aBest.mSecond == Best::kNone) {
    return aBest.mFirst;
  }
  const bool second =
    LoadOf(aNow, aBest.mSecond) + kFirstPreference < LoadOf(aNow, aBest.mFirst);
  return second ? aBest.mSecond : aBest.mFirst;
}

double
ServiceRouter::SpillShare(std::uint32_t aZone) const
{
  return aZone < mZoneLoads.size() ? mZoneLoads[aZone].mSpill : 0;
}

double
ServiceRouter::LoadDifference(std::uint32_t aZone, std::uint32_t aFrom) const
{
  if (aZone >= mZoneLoads.size() || aFrom >= mZoneLoads.size()) {
    return 0;
  }
  return std::clamp(
    mZoneLoads[aFrom].mLoad - mZoneLoads[aZone].mLoad, 0.0, kMaxLoadDifference);
}

double
ServiceRouter::ExpectedWait(const ZoneLoad& aZone) const
{
  return core::ExpectedWait(core::QueueingTime::Of(aZone.mSlots * kPooledShare),
                            mTypicalSeconds)
    .At(aZone.mLoad);
}

void
ServiceRouter::AssumeLoad(double aKnown, ZoneLoad& aZone)
{
  aZone.mCapacity = aZone.mSlots;
  aZone.mUsed =
    aZone.mSlots * std::max(kUnknownLoad, aKnown - kUnknownDifference);
}

void
ServiceRouter::UpdateZoneLoads(core::TimePoint aNow)
{
  const bool stale = mZoneLoadsAt == core::TimePoint::min();
  if (!stale && aNow - mZoneLoadsAt < kSpillInterval) {
    return;
  }
  const double steps =
    stale
      ? 0
      : std::min(kMaxSpillSteps,
                 static_cast<double>((aNow - mZoneLoadsAt) / kSpillInterval));
  mZoneLoadsAt = aNow;
  mTypicalSeconds = std::chrono::duration<double>(mEjection.Median()).count();
  mZoneLoads.resize(mZones.size());
  for (ZoneLoad& zone : mZoneLoads) {
    zone = ZoneLoad{ .mSpill = zone.mSpill };
  }
  double all_capacity = 0;
  double all_used = 0;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    RefreshWeight(aNow, i);
    const Entry& entry = mEntries[i];
    if (!entry.mServing || entry.mEjected) {
      continue;
    }
    ZoneLoad& zone = mZoneLoads[entry.mZone];
    zone.mSlots += entry.mSlots;
    const std::uint32_t in_flight = mEjection.InFlight(i);
    const bool reported = entry.mReportedAt > aNow - mSettings.mReportLifetime;
    if (!reported && in_flight == 0) {
      // Nothing is known of its load.
      continue;
    }
    const double load = std::max(
      in_flight / entry.mSlots,
      reported ? std::min(entry.mReportedPermille / 1000.0, kMaxReported) : 0);
    all_capacity += entry.mWeight;
    all_used += entry.mWeight * load;
    zone.mCapacity += entry.mWeight;
    zone.mUsed += entry.mWeight * load;
  }
  const double known = all_used / std::max(kMinCapacity, all_capacity);
  for (ZoneLoad& zone : mZoneLoads) {
    if (zone.mCapacity <= 0) {
      AssumeLoad(known, zone);
      all_capacity += zone.mCapacity;
      all_used += zone.mUsed;
    }
  }
  const double all = all_used / std::max(kMinCapacity, all_capacity);
  for (ZoneLoad& zone : mZoneLoads) {
    // Requests move to another zone only while it is less loaded. The share
    // changes in steps, since the effect of a step is reported later.
    zone.mLoad = zone.mUsed / std::max(kMinCapacity, zone.mCapacity);
    const double excess = zone.mLoad - std::max(mSettings.mSpillBegin,
                                                all + mSettings.mSpillMargin);
    zone.mSpill =
      std::clamp(zone.mSpill + steps * mSettings.mSpillGain * excess, 0.0, 1.0);
  }
}

Choice
ServiceRouter::MakeChoice(std::size_t aIndex, bool aProbe) const
{
  const Candidate& candidate = mCandidates.at(aIndex);
  return { candidate.mIncarnation, candidate.mPeer, aProbe, candidate.mZone };
}

std::optional<std::size_t>
ServiceRouter::ChooseProbe(core::TimePoint aNow,
                           std::span<const core::Incarnation> aExcluded)
{
  const std::uint32_t ejected = mEjection.Ejected();
  if (ejected == 0) {
    return std::nullopt;
  }
  ++mRequestsSinceProbe;
  if (mRequestsSinceProbe < mSettings.mMinRequestsBetweenProbes ||
      mRequestsSinceProbe * ejected < mSettings.mRequestsPerProbe) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    if (mEjection.IsProbeDue(aNow, i) && IsUsable(aNow, i, aExcluded)) {
      mRequestsSinceProbe = 0;
      return i;
    }
  }
  return std::nullopt;
}

std::optional<Choice>
ServiceRouter::Choose(core::TimePoint aNow,
                      std::uint64_t aRequestHash,
                      std::string_view aZone,
                      std::span<const core::Incarnation> aExcluded,
                      double aPrice)
{
  if (const auto probe = ChooseProbe(aNow, aExcluded)) {
    return MakeChoice(*probe, true);
  }
  const std::uint32_t zone = ZoneIndex(aZone);
  UpdateZoneLoads(aNow);
  Ranking ranking = Rank(aNow, aRequestHash, zone, aExcluded);
  if (EjectOverdue(aNow, ranking.mAll) ||
      EjectOverdue(aNow, ranking.mOwnZone)) {
    ranking = Rank(aNow, aRequestHash, zone, aExcluded);
  }
  if (ranking.mAll.mFirst == Best::kNone) {
    // An ejected server is better than none.
    if (ranking.mEjected.mFirst == Best::kNone) {
      return std::nullopt;
    }
    return MakeChoice(LessLoaded(aNow, ranking.mEjected), false);
  }
  if (ranking.mOwnZone.mFirst == Best::kNone) {
    return MakeChoice(LessLoaded(aNow, ranking.mAll), false);
  }
  const bool leaves =
    ranking.mOtherZones.mFirst != Best::kNone &&
    ToUnitInterval(Mix(aRequestHash)) < SpillShare(zone) &&
    (aPrice <= 0 ||
     ExpectedWait(mZoneLoads[zone]) -
         ExpectedWait(mZoneLoads[mEntries[ranking.mOtherZones.mFirst].mZone]) >=
       aPrice);
  return MakeChoice(
    LessLoaded(aNow, leaves ? ranking.mOtherZones : ranking.mOwnZone), false);
}

void
ServiceRouter::OnStart(core::TimePoint aNow,
                       core::Incarnation aIncarnation,
                       std::optional<core::Duration> aTypicalTime)
{
  const auto found = mIndexOf.find(aIncarnation.mBits);
  if (found != mIndexOf.end()) {
    mEjection.OnStart(aNow, found->second, aTypicalTime);
  }
}

void
ServiceRouter::OnEnd(core::TimePoint aNow,
                     core::Incarnation aIncarnation,
                     AttemptOutcome aOutcome,
                     core::Duration aLatency,
                     const core::CallFeedback* aFeedback,
                     core::Duration aQueueTime)
{
  const auto found = mIndexOf.find(aIncarnation.mBits);
  if (found == mIndexOf.end()) {
    return;
  }
  mEjection.OnEnd(aNow, found->second, aOutcome, aLatency, aQueueTime);
  RefreshEntry(found->second);
  Entry& entry = mEntries.at(found->second);
  if (aOutcome == AttemptOutcome::Unavailable) {
    entry.mUnavailableUntil = aNow + mSettings.mUnavailableTime;
  }
  if (aFeedback != nullptr) {
    entry.mReportedPermille = aFeedback->mLoadPermille;
    entry.mOccupancyPermille = aFeedback->mOccupancyPermille;
    entry.mReportedAt = aNow;
    mSpeeds.OnResponse(
      aNow, found->second, *aFeedback, aOutcome == AttemptOutcome::Ok);
    RefreshWeight(aNow, found->second);
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
