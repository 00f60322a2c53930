#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "routing/Candidate.h"
#include "routing/Ejection.h"
#include "routing/RouterSettings.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routing {

class ServiceRouter;

/// Number of servers ejected at present, and of ejections by EjectionReason.
struct EjectionSummary
{
  std::uint32_t mEjected = 0;
  std::array<std::uint64_t, kEjectionReasons> mCounts{};

  bool operator==(const EjectionSummary&) const = default;
};

/// Chooses a backend server for each attempt and learns from the outcomes.
/// Thread-safe: state is sharded by service, each shard with its own lock.
class Router
{
public:
  /// Fails with InvalidSettings. The hook is called for each ejection and
  /// return.
  static core::Expected<std::unique_ptr<Router>> Create(
    const RouterSettings& aSettings,
    EjectionHook aOnEjection = {});
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  /// Replaces the candidates of a service. Observations of servers that stay
  /// are kept. An empty list removes the service.
  void Update(core::TimePoint aNow,
              std::string_view aService,
              const std::vector<Candidate>& aCandidates);

  /// The server for one attempt: the less loaded of the two ranked first by
  /// weighted rendezvous hash of the request identity. The request leaves the
  /// zone aZone only if that is expected to save it aPrice seconds. Fails with
  /// UnknownService or NoBackendServer.
  core::Expected<Choice> Choose(core::TimePoint aNow,
                                std::string_view aService,
                                std::uint64_t aRequestHash,
                                std::string_view aZone,
                                std::span<const core::Incarnation> aExcluded,
                                double aPrice = 0);

  /// An attempt was sent to the server. aTypicalTime as in Ejection::OnStart().
  void OnStart(core::TimePoint aNow,
               core::Incarnation aIncarnation,
               std::optional<core::Duration> aTypicalTime = std::nullopt);
  /// An attempt ended; to be called once for each OnStart(). aLatency is the
  /// time since OnStart(), aQueueTime the part of it in which the attempt
  /// waited for a slot. aFeedback may be null if there was no response.
  void OnEnd(core::TimePoint aNow,
             core::Incarnation aIncarnation,
             AttemptOutcome aOutcome,
             core::Duration aLatency,
             const core::CallFeedback* aFeedback,
             core::Duration aQueueTime = core::Duration(0));

  /// Number of servers of the service that Choose() may return, without
  /// aExcluded.
  std::uint32_t Available(core::TimePoint aNow,
                          std::string_view aService,
                          std::span<const core::Incarnation> aExcluded);
  /// Typical latency of the service as observed by this node; zero if unknown.
  core::Duration TypicalLatency(std::string_view aService);
  /// Ejections over all present services.
  EjectionSummary Ejections();

private:
  static constexpr std::size_t kShards = 64;

  struct Shard
  {
    std::mutex mMutex;
    std::unordered_map<std::uint64_t, std::unique_ptr<ServiceRouter>> mServices;
  };
  /// Maps incarnations to the key of their service.
  struct IndexShard
  {
    std::mutex mMutex;
    std::unordered_map<std::uint64_t, std::uint64_t> mServiceOf;
  };

  Router(const RouterSettings& aSettings, EjectionHook aOnEjection);
  Shard& ShardOf(std::uint64_t aKey);
  void Reindex(std::uint64_t aKey,
               const std::vector<Candidate>& aOld,
               const std::vector<Candidate>& aNew);
  /// Calls aVisitor with the router of the service of an incarnation, under its
  /// lock.
  template<class Visitor>
  void Visit(core::Incarnation aIncarnation, Visitor aVisitor);

  RouterSettings mSettings;
  EjectionHook mOnEjection;
  std::array<Shard, kShards> mShards;
  std::array<IndexShard, kShards> mIndex;
};

} // namespace nutmegrock::routing
