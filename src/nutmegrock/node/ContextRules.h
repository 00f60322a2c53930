#pragma once

#include "core/CallContext.h"
#include "core/Error.h"
#include "node/CallerHeaders.h"
#include "profiles/ProfileSet.h"

namespace nutmegrock::node {

/// The context of a customer request at its entry. The caller may lower the
/// timeout that the profile gives and may name only a profile that the service
/// allows. Fails with UnknownService, UnknownProfile or Forbidden. aNewRequest
/// is the identity used when the caller sent none.
core::Expected<core::CallContext>
EntryContext(core::TimePoint aNow,
             const profiles::ProfileSet& aProfiles,
             const std::string& aService,
             const CallerHeaders& aHeaders,
             const core::RequestId& aNewRequest);

/// The context of a call nested in aParent: identity, deadline, profile and
/// importance are the parent's, depth is one more, and the budget is aGrant.
/// Fails with DepthExceeded, and with ProfileConflict when the call names a
/// non-idempotent profile below an idempotent parent, which may be sent twice.
core::Expected<core::CallContext>
NestedContext(const core::CallContext& aParent,
              const profiles::ProfileSet& aProfiles,
              const CallerHeaders& aHeaders,
              std::uint32_t aGrant);

/// The context of a nested call without a valid token: the service's default
/// profile, no retries, and a deadline no later than aMaxDeadline.
core::Expected<core::CallContext>
UntiedContext(core::TimePoint aNow,
              const profiles::ProfileSet& aProfiles,
              const std::string& aService,
              core::TimePoint aMaxDeadline,
              const core::RequestId& aNewRequest);

} // namespace nutmegrock::node
