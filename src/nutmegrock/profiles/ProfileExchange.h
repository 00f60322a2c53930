#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"
#include "profiles/ActiveProfiles.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::profiles {

/// Decides from which member a node pulls a newer profile set. Not thread-safe.
class ProfileExchange
{
public:
  /// Method of the control request between nodes. Its argument is empty, its
  /// result the record in force.
  static constexpr std::string_view kMethod = "profiles.pull";

  struct Settings
  {
    /// Age from which a pull without a response no longer blocks another.
    core::Duration mPullTimeout = std::chrono::seconds(2);
    /// Maximum number of concurrent pulls.
    std::size_t mMaxPulls = 2;
    /// Time for which no pull goes to a member after a failed one, so that a
    /// member with an invalid set cannot occupy the pulls.
    core::Duration mFailureCooldown = std::chrono::seconds(10);
  };

  explicit ProfileExchange(Settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns true if a pull from the member that reported aVersion is to start
  /// now; OnPulled() ends it. aInForce is the version in force on this node.
  /// While a pull of that version or a higher one is in progress, no other
  /// member is asked.
  bool OnVersionSeen(const core::Address& aFrom,
                     std::uint64_t aVersion,
                     std::uint64_t aInForce,
                     core::TimePoint aNow);
  /// Ends the pull from aFrom; aUsable is true if it returned a usable set.
  void OnPulled(const core::Address& aFrom, bool aUsable, core::TimePoint aNow);

  /// Decodes the result of a pull. Fails with the error of the pull, or with
  /// InvalidProfiles if the set must not be activated.
  static core::Expected<PublishedSet> Check(
    const core::Expected<std::string>& aResult);
  /// Returns the result of the control method. Fails with NoProfiles if none
  /// are in force.
  static core::Expected<std::string> MakeResponse(
    const ActiveProfiles& aActiveProfiles);

private:
  struct Pull
  {
    core::Address mFrom;
    std::uint64_t mVersion = 0;
    core::TimePoint mStarted;
  };
  struct Failure
  {
    core::Address mFrom;
    core::TimePoint mUntil;
  };

  /// Maximum number of recorded failures; the oldest is removed first.
  static constexpr std::size_t kMaxFailures = 64;

  void RemoveExpired(core::TimePoint aNow);

  Settings mSettings;
  std::vector<Pull> mPulls;
  std::vector<Failure> mFailures;
};

} // namespace nutmegrock::profiles
