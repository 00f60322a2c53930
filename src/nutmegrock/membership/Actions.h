#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::membership {

/// A datagram to send.
struct Outgoing
{
  core::Address mTo;
  Message mMessage;
};

/// A control request to send over TCP. The response is passed to
/// Membership::HandleResponse() with the same id.
struct ControlRequest
{
  std::uint64_t mId = 0;
  core::Address mTo;
  core::Incarnation mTarget;
  std::string mMethod;
  std::string mArgument;
};

/// A member with a higher profile version than this node.
struct NewerVersion
{
  core::Address mFrom;
  std::uint64_t mVersion = 0;
};

/// What the caller performs after a call to Membership.
struct Actions
{
  std::vector<Outgoing> mDatagrams;
  std::vector<ControlRequest> mRequests;
  std::vector<NewerVersion> mNewerVersions;
  /// As told by a member that has no higher profile version than this node.
  std::optional<ProfileAge> mProfileAge;
  /// Members removed after the retention time of dead members, whose seed rows
  /// this node removes.
  std::vector<MemberPtr> mRowsToRemove;
  bool mViewChanged = false;
};

} // namespace nutmegrock::membership
