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

/// Servers ejected now, and times a server was ejected by EjectionReason.
struct EjectionSummary
{
  std::uint32_t mEjected = 0;
  std::array<std::uint64_t, kEjectionReasons> mCounts{};

  bool operator==(const EjectionSummary&) const = default;
};

/// Chooses a backend server for each attempt and learns from how attempts end.
/// Safe from any thread: state is in shards by service, each under its own
/// lock.
class Router
{
public:
  /// Fails with InvalidSettings. The hook hears of each ejection.
  static core::Expected<std::unique_ptr<Router>> Create(
    const RouterSettings& aSettings,
    EjectionHook aHook = {});
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  /// Replaces the candidates of a service. What was observed about servers that
  /// stay is kept. An empty list forgets the service.
  void Update(core::TimePoint aNow,
              std::string_view aService,
              const std::vector<Candidate>& aCandidates);

  /// The server for one attempt: of the two ranked first by weighted rendezvous
  /// hash of the request identity the less loaded. Fails with UnknownService or
  /// NoBackendServer.
  core::Expected<Choice> Choose(core::TimePoint aNow,
                                std::string_view aService,
                                std::uint64_t aRequestHash,
                                std::string_view aZone,
                                std::span<const core::Incarnation> aExcluded);

  /// An attempt was sent to the server.
  void OnStart(core::TimePoint aNow, core::Incarnation aIncarnation);
  /// An attempt ended; each OnStart() needs one. aLatency is the time since
  /// OnStart(). aFeedback may be null when no answer came.
  void OnEnd(core::TimePoint aNow,
             core::Incarnation aIncarnation,
             AttemptOutcome aOutcome,
             core::Duration aLatency,
             const core::CallFeedback* aFeedback);

  /// Servers of the service that Choose() may return, without aExcluded.
  std::uint32_t Available(core::TimePoint aNow,
                          std::string_view aService,
                          std::span<const core::Incarnation> aExcluded);
  /// Usual latency of the service as seen here; zero when not known.
  core::Duration TypicalLatency(std::string_view aService);
  /// Ejections over all services of the last Update() lists.
  EjectionSummary Ejections();

private:
  static constexpr std::size_t kShards = 64;

  struct Shard
  {
    std::mutex mMutex;
    std::unordered_map<std::uint64_t, std::unique_ptr<ServiceRouter>> mServices;
  };
  /// Finds the service of an incarnation.
  struct IndexShard
  {
    std::mutex mMutex;
    std::unordered_map<std::uint64_t, std::uint64_t> mServiceOf;
  };

  Router(const RouterSettings& aSettings, EjectionHook aHook);
  Shard& ShardOf(std::uint64_t aKey);
  void Reindex(std::uint64_t aKey,
               const std::vector<Candidate>& aOld,
               const std::vector<Candidate>& aNew);
  /// Calls aVisitor with the service of an incarnation under its lock.
  template<class Visitor>
  void Visit(core::Incarnation aIncarnation, Visitor aVisitor);

  RouterSettings mSettings;
  EjectionHook mHook;
  std::array<Shard, kShards> mShards;
  std::array<IndexShard, kShards> mIndex;
};

} // namespace nutmegrock::routing
