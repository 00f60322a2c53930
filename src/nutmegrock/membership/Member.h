#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::membership {

/// State that a member reports about itself.
enum class MemberState : std::uint8_t
{
  /// Not yet ready for work.
  Starting,
  Serving,
  /// Accepts no new work and finishes the calls in flight.
  Draining,
  /// Left the mesh deliberately; final.
  Left
};

/// "starting", "serving", "draining" or "left".
std::string_view
NameOf(MemberState aState);

/// Record of one run of a node, written by that run only. Immutable once
/// published: a changed record is a new value with a higher version.
struct Member
{
  /// Maximum length of service, region and availability zone names in bytes. A
  /// record with three such names takes less than a third of a datagram.
  static constexpr std::size_t kMaxName = 64;

  core::Incarnation mIncarnation;
  /// Peer address, TCP and UDP.
  core::Address mAddress;
  std::string mService;
  std::string mRegion;
  std::string mAvailabilityZone;
  /// Calls that the backend server runs concurrently.
  std::uint32_t mSlots = 0;
  /// Connections the backend server accepts.
  std::uint32_t mConnections = 0;
  MemberState mState = MemberState::Starting;
  /// Incremented by the member with every change of the record.
  std::uint64_t mVersion = 1;
  /// Wall-clock time in milliseconds since 1970 at which the member started
  /// serving, or at which it started if it does not serve yet.
  std::int64_t mJoinedMs = 0;

  /// Checks that a node can start with this record. Fails with InvalidSettings
  /// if the incarnation is not set or a name is empty, longer than kMaxName or
  /// contains '/', which separates the parts of a seed row key.
  core::Expected<bool> Check() const;

  bool operator==(const Member&) const = default;
};

using MemberPtr = std::shared_ptr<const Member>;

} // namespace nutmegrock::membership
