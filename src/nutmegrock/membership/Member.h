#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::membership {

/// What a member says about itself.
enum class MemberState : std::uint8_t
{
  /// Not yet ready for work.
  Starting,
  Serving,
  /// Takes no new work, finishes what is in flight.
  Draining,
  /// Gone on its own wish; final.
  Left
};

/// "starting", "serving", "draining" or "left".
std::string_view
NameOf(MemberState aState);

/// Record of one run of a node, written by that run only. Immutable once
/// published: a changed record is a new value with a higher version.
struct Member
{
  /// Longest service, region and availability zone name in bytes. Three such
  /// names and the rest of a record fill less than a third of a datagram.
  static constexpr std::size_t kMaxName = 64;

  core::Incarnation mIncarnation;
  /// Peer address, TCP and UDP.
  core::Address mAddress;
  std::string mService;
  std::string mRegion;
  std::string mAvailabilityZone;
  /// Calls the backend server runs at once.
  std::uint32_t mSlots = 0;
  /// Connections the backend server accepts.
  std::uint32_t mConnections = 0;
  MemberState mState = MemberState::Starting;
  /// Raised by the member with every change of the record.
  std::uint64_t mVersion = 1;
  /// Wall-clock time in milliseconds since 1970 at which the member started
  /// serving, or started when it does not serve yet.
  std::int64_t mJoinedMs = 0;

  /// Whether a node may start with this record. Fails with InvalidSettings when
  /// the incarnation is not set or a name is empty, longer than kMaxName or
  /// contains '/', which separates the parts of a seed row's key.
  core::Expected<bool> Check() const;

  bool operator==(const Member&) const = default;
};

using MemberPtr = std::shared_ptr<const Member>;

} // namespace nutmegrock::membership
