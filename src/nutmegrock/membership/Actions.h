#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegrock::membership {

/// A datagram to send.
struct Outgoing
{
  core::Address mTo;
  Message mMessage;
};

/// A control request to make over TCP. Its answer goes to
/// Membership::HandleResponse() with the same id.
struct ControlRequest
{
  std::uint64_t mId = 0;
  core::Address mTo;
  core::Incarnation mTarget;
  std::string mMethod;
  std::string mArgument;
};

/// A member whose profile version is above the own one.
struct NewerVersion
{
  core::Address mFrom;
  std::uint64_t mVersion = 0;
};

/// What the adapter does after a decision.
struct Actions
{
  std::vector<Outgoing> mDatagrams;
  std::vector<ControlRequest> mRequests;
  std::vector<NewerVersion> mNewerVersions;
  /// Members dropped after having been dead for the retention time, whose seed
  /// rows this node is to remove.
  std::vector<MemberPtr> mRowsToRemove;
  bool mViewChanged = false;
};

} // namespace nutmegrock::membership
