#include "node/ContextRules.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::node {

namespace {

core::CallContext
ContextOf(core::TimePoint aNow,
          const profiles::Profile& aProfile,
          const core::RequestId& aRequest)
{
  return core::CallContext{ aRequest,
                            aNow + aProfile.mTimeout,
                            aProfile.mMaxWait,
                            aProfile.mName,
                            aProfile.mImportance,
                            aProfile.mIdempotent,
                            aProfile.mRetryBudget,
                            0,
                            {} };
}

core::Expected<const profiles::Profile*>
FindProfile(const profiles::ProfileSet& aProfiles, const std::string& aName)
{
  const profiles::Profile* profile = aProfiles.Find(aName);
  if (profile == nullptr) {
    return core::Fail(core::ErrorKind::UnknownProfile,
                      fmt::format("profile \"{}\" does not exist in version {}",
                                  aName,
                                  aProfiles.mVersion));
  }
  return profile;
}

core::Expected<const profiles::ServiceRule*>
FindRule(const profiles::ProfileSet& aProfiles, const std::string& aService)
{
  const profiles::ServiceRule* rule = aProfiles.FindService(aService);
  if (rule == nullptr) {
    return core::Fail(core::ErrorKind::UnknownService,
                      fmt::format("service \"{}\" has no rule in profile "
                                  "version {}",
                                  aService,
                                  aProfiles.mVersion));
  }
  return rule;
}

bool
Allows(const profiles::ServiceRule& aRule, const std::string& aProfile)
{
  return aProfile == aRule.mDefaultProfile ||
         std::find(aRule.mAllowed.begin(), aRule.mAllowed.end(), aProfile) !=
           aRule.mAllowed.end();
}

} // namespace

core::Expected<core::CallContext>
EntryContext(core::TimePoint aNow,
             const profiles::ProfileSet& aProfiles,
             const std::string& aService,
             const CallerHeaders& aHeaders,
             const core::RequestId& aNewRequest)
{
  const auto rule = FindRule(aProfiles, aService);
  if (!rule) {
    return tl::make_unexpected(rule.error());
  }
  const std::string& name =
    aHeaders.mProfile.empty() ? (*rule)->mDefaultProfile : aHeaders.mProfile;
  const auto profile = FindProfile(aProfiles, name);
  if (!profile) {
    return tl::make_unexpected(profile.error());
  }
  if (!Allows(**rule, name)) {
    return core::Fail(
      core::ErrorKind::Forbidden,
      fmt::format(
        "service \"{}\" does not allow profile \"{}\"", aService, name));
  }
  core::CallContext context =
    ContextOf(aNow, **profile, aHeaders.mRequest.value_or(aNewRequest));
  if (aHeaders.mTimeout) {
    context.mDeadline = std::min(context.mDeadline, aNow + *aHeaders.mTimeout);
  }
  if (!context.mIdempotent) {
    context.mKey = aHeaders.mKey;
  }
  return context;
}

core::Expected<core::CallContext>
NestedContext(const core::CallContext& aParent,
              const profiles::ProfileSet& aProfiles,
              const CallerHeaders& aHeaders,
              std::uint32_t aGrant)
{
  if (aParent.mDepth + 1 >= core::kMaxDepth) {
    return core::Fail(
      core::ErrorKind::DepthExceeded,
      fmt::format("call chain is deeper than {}", core::kMaxDepth));
  }
  const profiles::Profile* named = aProfiles.Find(aHeaders.mProfile);
  if (named != nullptr && !named->mIdempotent && aParent.mIdempotent) {
    return core::Fail(
      core::ErrorKind::ProfileConflict,
      fmt::format("profile \"{}\" is not idempotent but its request's profile "
                  "\"{}\" is",
                  named->mName,
                  aParent.mProfile));
  }
  core::CallContext context = aParent;
  context.mDepth = aParent.mDepth + 1;
  context.mRetryBudget = std::min(aGrant, aParent.mRetryBudget);
  context.mKey.clear();
  return context;
}

core::Expected<core::CallContext>
OrphanContext(core::TimePoint aNow,
              const profiles::ProfileSet& aProfiles,
              const std::string& aService,
              core::TimePoint aMaxDeadline,
              const core::RequestId& aNewRequest)
{
  const auto rule = FindRule(aProfiles, aService);
  if (!rule) {
    return tl::make_unexpected(rule.error());
  }
  const auto profile = FindProfile(aProfiles, (*rule)->mDefaultProfile);
  if (!profile) {
    return tl::make_unexpected(profile.error());
  }
  core::CallContext context = ContextOf(aNow, **profile, aNewRequest);
  context.mDeadline = std::min(context.mDeadline, aMaxDeadline);
  context.mRetryBudget = 0;
  context.mDepth = 1;
  return context;
}

} // namespace nutmegrock::node
