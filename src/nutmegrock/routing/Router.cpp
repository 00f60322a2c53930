#include "routing/Router.h"

#include "core/Hash.h"
#include "routing/ServiceRouter.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::routing {

Router::Router(const RouterSettings& aSettings, EjectionHook aOnEjection)
  : mSettings(aSettings)
  , mOnEjection(std::move(aOnEjection))
{
}

Router::~Router() = default;

core::Expected<std::unique_ptr<Router>>
Router::Create(const RouterSettings& aSettings, EjectionHook aOnEjection)
{
  const bool valid =
    aSettings.mRampStart > 0 && aSettings.mRampStart <= 1 &&
    aSettings.mSpillGain > 0 && aSettings.mRequestsPerProbe > 0 &&
    aSettings.mReportLifetime > core::Duration{ 0 } &&
    aSettings.mEjection.mMaxShare >= 0 && aSettings.mEjection.mMaxShare <= 1;
  if (!valid) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      "router: shares must be in [0, 1], ramp start, spill gain, "
      "requests per probe and report lifetime positive");
  }
  return std::unique_ptr<Router>(new Router(aSettings, std::move(aOnEjection)));
}

Router::Shard&
Router::ShardOf(std::uint64_t aKey)
{
  return mShards.at(aKey % kShards);
}

void
Router::Reindex(std::uint64_t aKey,
                const std::vector<Candidate>& aOld,
                const std::vector<Candidate>& aNew)
{
  for (const Candidate& candidate : aOld) {
    const std::uint64_t bits = candidate.mIncarnation.mBits;
    IndexShard& index = mIndex.at(bits % kShards);
    const std::lock_guard lock(index.mMutex);
    index.mServiceOf.erase(bits);
  }
  for (const Candidate& candidate : aNew) {
    const std::uint64_t bits = candidate.mIncarnation.mBits;
    IndexShard& index = mIndex.at(bits % kShards);
    const std::lock_guard lock(index.mMutex);
    index.mServiceOf[bits] = aKey;
  }
}

void
Router::Update(core::TimePoint /*aNow*/,
               std::string_view aService,
               const std::vector<Candidate>& aCandidates)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = ShardOf(key);
  // Lock order: service shard, then index shard.
  const std::lock_guard lock(shard.mMutex);
  auto& service = shard.mServices[key];
  if (!service) {
    service = std::make_unique<ServiceRouter>(mSettings, mOnEjection);
  }
  Reindex(key, service->Candidates(), aCandidates);
  if (aCandidates.empty()) {
    shard.mServices.erase(key);
  } else {
    service->Update(aCandidates);
  }
}

core::Expected<Choice>
Router::Choose(core::TimePoint aNow,
               std::string_view aService,
               std::uint64_t aRequestHash,
               std::string_view aZone,
               std::span<const core::Incarnation> aExcluded,
               double aPrice)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mServices.find(key);
  if (found == shard.mServices.end()) {
    return core::Fail(core::ErrorKind::UnknownService,
                      fmt::format("no service \"{}\"", aService));
  }
  const auto choice =
    found->second->Choose(aNow, aRequestHash, aZone, aExcluded, aPrice);
  if (!choice) {
    return core::Fail(
      core::ErrorKind::NoBackendServer,
      fmt::format("service \"{}\" has no other backend server", aService));
  }
  return *choice;
}

template<class Visitor>
void
Router::Visit(core::Incarnation aIncarnation, Visitor aVisitor)
{
  std::uint64_t key = 0;
  {
    IndexShard& index = mIndex.at(aIncarnation.mBits % kShards);
    const std::lock_guard lock(index.mMutex);
    const auto found = index.mServiceOf.find(aIncarnation.mBits);
    if (found == index.mServiceOf.end()) {
      return;
    }
    key = found->second;
  }
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mServices.find(key);
  if (found != shard.mServices.end()) {
    aVisitor(*found->second);
  }
}

void
Router::OnStart(core::TimePoint aNow,
                core::Incarnation aIncarnation,
                std::optional<core::Duration> aTypicalTime)
{
  Visit(aIncarnation, [&](ServiceRouter& aService) {
    aService.OnStart(aNow, aIncarnation, aTypicalTime);
  });
}

void
Router::OnEnd(core::TimePoint aNow,
              core::Incarnation aIncarnation,
              AttemptOutcome aOutcome,
              core::Duration aLatency,
              const core::CallFeedback* aFeedback,
              core::Duration aQueueTime)
{
  Visit(aIncarnation, [&](ServiceRouter& aService) {
    aService.OnEnd(
      aNow, aIncarnation, aOutcome, aLatency, aFeedback, aQueueTime);
  });
}

std::uint32_t
Router::Available(core::TimePoint aNow,
                  std::string_view aService,
                  std::span<const core::Incarnation> aExcluded)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mServices.find(key);
  return found == shard.mServices.end()
           ? 0
           : found->second->Available(aNow, aExcluded);
}

core::Duration
Router::TypicalLatency(std::string_view aService)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mServices.find(key);
  return found == shard.mServices.end() ? core::Duration{ 0 }
                                        : found->second->Ejections().Median();
}

EjectionSummary
Router::Ejections()
{
  EjectionSummary summary;
  for (Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [key, service] : shard.mServices) {
      const Ejection& ejection = service->Ejections();
      summary.mEjected += ejection.Ejected();
      for (std::size_t i = 0; i < kEjectionReasons; ++i) {
        summary.mCounts.at(i) += ejection.Counts().at(i);
      }
    }
  }
  return summary;
}

} // namespace nutmegrock::routing
