#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"
#include "profiles/ProfileHolder.h"

#include <cstdint>
#include <optional>
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
  };

  ProfileExchange(const ProfileHolder& aHolder, Settings aSettings)
    : mHolder(aHolder)
    , mSettings(aSettings)
  {
  }

  /// Whether to pull now from the member that shows aVersion. True starts a
  /// pull, which OnPulled() ends. While a pull of that version or a higher one
  /// is under way, no other member is asked.
  bool OnVersionSeen(const core::Address& aFrom,
                     std::uint64_t aVersion,
                     core::TimePoint aNow);
  /// Ends the pull from aFrom. Returns a set to adopt, nothing when it is not
  /// higher than the one in force, or the error of the pull or of its contents.
  core::Expected<std::optional<PublishedSet>> OnPulled(
    const core::Address& aFrom,
    const core::Expected<std::string>& aResult);
  /// The result of the control method. Fails with NoProfiles when none are in
  /// force.
  static core::Expected<std::string> Answer(const ProfileHolder& aHolder);

private:
  struct Pull
  {
    core::Address mFrom;
    std::uint64_t mVersion = 0;
    core::TimePoint mStarted;
  };

  const ProfileHolder& mHolder;
  Settings mSettings;
  std::vector<Pull> mPulls;
};

} // namespace nutmegrock::profiles
