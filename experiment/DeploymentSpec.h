#pragma once

#include "core/Error.h"
#include "experiment/Plan.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::experiment {

/// Backend servers of one service, scaled down to one machine.
struct ServiceSpec
{
  std::string mName;
  std::size_t mServers = 1;
  std::size_t mSlots = 1;
  std::size_t mConnections = 1;
  /// Mean service time of one run in seconds, without its nested calls.
  double mMeanSeconds = 0.0;

  bool operator==(const ServiceSpec&) const = default;
};

/// One kind of customer request; its name is also the name of its profile.
struct RequestKind
{
  std::string mName;
  std::string mService;
  std::string mPath;
  Plan mPlan;
  /// Share of all customer requests.
  double mShare = 0.0;
  /// Critical and not idempotent: shed last, and sent with an idempotency key.
  bool mImportant = false;
  std::size_t mBodyBytes = 0;
  /// Importance of the profile; requests of a higher rank are shed later.
  int mRank = 0;

  bool operator==(const RequestKind&) const = default;
};

/// A deployment of section 1, with slots and connections divided by kScale and
/// service times set so that one machine can carry its capacity.
struct DeploymentSpec
{
  /// Divisor of the real slots and connections.
  static constexpr double kScale = 10.0;

  std::string mName;
  std::string mRegion;
  std::vector<std::string> mZones;
  /// One-way latency between a client and any node.
  std::chrono::microseconds mClientLatency{ 0 };
  std::vector<ServiceSpec> mServices;
  std::vector<RequestKind> mKinds;
  /// The service at the end of the call chains, which is also the busiest.
  std::string mDeepService;

  /// "haufiku" or "daugava". Fails with NotFound.
  static core::Expected<DeploymentSpec> Named(std::string_view aName);

  /// Returns the service of that name, or null.
  const ServiceSpec* Find(std::string_view aService) const;
  std::size_t ServerCount() const;

  bool operator==(const DeploymentSpec&) const = default;
};

} // namespace nutmegrock::experiment
