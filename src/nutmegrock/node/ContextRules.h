#pragma once

#include "core/CallContext.h"
#include "core/Error.h"
#include "node/CallerHeaders.h"
#include "profiles/ProfileSet.h"

namespace nutmegrock::node {

/// Returns the context of a customer request at its entry node. The caller may
/// lower the timeout of the profile and may select only a profile that the
/// service allows. aNewRequest is the identity used if the caller sent none.
/// Fails with UnknownService, UnknownProfile or Forbidden.
core::Expected<core::CallContext>
EntryContext(core::TimePoint aNow,
             const profiles::ProfileSet& aProfiles,
             const std::string& aService,
             const CallerHeaders& aHeaders,
             const core::RequestId& aNewRequest);

/// Returns the context of a call nested in aParent: identity, deadline, profile
/// and importance are the parent's, the depth is one more, and the retry budget
/// is aGrant, at most the parent's. Fails with DepthExceeded, and with
/// ProfileConflict if the call names a non-idempotent profile below an
/// idempotent parent, which may be sent twice.
core::Expected<core::CallContext>
NestedContext(const core::CallContext& aParent,
              const profiles::ProfileSet& aProfiles,
              const CallerHeaders& aHeaders,
              std::uint32_t aGrant);

/// Returns the context of an orphan call, a nested call without a valid parent
/// token: the service's default profile, no retries, and a deadline no later
/// than aMaxDeadline. Fails with UnknownService or UnknownProfile.
core::Expected<core::CallContext>
OrphanContext(core::TimePoint aNow,
              const profiles::ProfileSet& aProfiles,
              const std::string& aService,
              core::TimePoint aMaxDeadline,
              const core::RequestId& aNewRequest);

} // namespace nutmegrock::node
