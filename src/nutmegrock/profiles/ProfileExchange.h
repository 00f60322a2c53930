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

/// Decides from whom a node pulls profiles that another member has in force.
/// Not safe for use by several threads.
class ProfileExchange
{
public:
  /// Method name of the control request between nodes. Its argument is empty,
  /// its result the record in force.
  static constexpr std::string_view kMethod = "profiles.pull";

  struct Settings
  {
    /// Age after which an unanswered pull no longer holds back another.
    core::Duration mPullTimeout = std::chrono::seconds(2);
    /// Most pulls under way at a time.
    std::size_t mMaxPulls = 2;
    /// Time for which a member is not asked again after a failed pull, so that
    /// a member with a broken set cannot occupy the pulls.
    core::Duration mFailurePause = std::chrono::seconds(10);
  };

  explicit ProfileExchange(Settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Whether to pull now from the member that shows aVersion, when aInForce is
  /// the version in force here. True starts a pull, which OnPulled() ends.
  /// While a pull of that version or a higher one is under way, no other member
  /// is asked.
  bool OnVersionSeen(const core::Address& aFrom,
                     std::uint64_t aVersion,
                     std::uint64_t aInForce,
                     core::TimePoint aNow);
  /// Ends the pull from aFrom, which gave a usable set or not.
  void OnPulled(const core::Address& aFrom, bool aUsable, core::TimePoint aNow);

  /// The set a pull gave. Fails with the error of the pull, or with
  /// InvalidProfiles for contents that must not be adopted.
  static core::Expected<PublishedSet> Check(
    const core::Expected<std::string>& aResult);
  /// The result of the control method. Fails with NoProfiles when none are in
  /// force.
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

  /// Failures remembered; the earliest is forgotten first.
  static constexpr std::size_t kMaxFailures = 64;

  void Forget(core::TimePoint aNow);

  Settings mSettings;
  std::vector<Pull> mPulls;
  std::vector<Failure> mFailures;
};

} // namespace nutmegrock::profiles
