#pragma once

#include "core/Error.h"
#include "core/Incarnation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::quota {

/// What a node asks for one tenant.
struct TakeItem
{
  std::string mTenant;
  /// Tokens for requests that wait for them.
  std::uint32_t mWaiting = 0;
  /// Further tokens for requests that are expected soon.
  std::uint32_t mExpected = 0;

  bool operator==(const TakeItem&) const = default;
};

/// Relation of a node to an owner, as the node sees it.
enum class TakeState : std::uint8_t
{
  Normal,
  /// The last request had no response, so the node uses its fallback buckets
  /// until it gets one.
  Fallback,
  /// The node has had no demand for a while and sends no further requests for
  /// now.
  Idle
};

/// Request of a node for tokens of all tenants of an owner.
struct TakeRequest
{
  TakeState mState = TakeState::Normal;
  /// Former owners that are leaving.
  std::vector<core::Incarnation> mLeaving;
  std::vector<TakeItem> mItems;

  bool operator==(const TakeRequest&) const = default;
};

/// Answer of an owner for one tenant.
struct TakeGrant
{
  /// False if the node is not the owner, or not yet.
  bool mOwned = false;
  std::uint32_t mGranted = 0;
  /// If fewer tokens were granted than requests wait: time until there may be
  /// one.
  std::chrono::milliseconds mRetryAfter{ 0 };
  /// The node's share of the recent grants for the tenant, in millionths.
  std::uint32_t mSharePpm = 0;

  bool operator==(const TakeGrant&) const = default;
};

/// Response of an owner, with a grant for each item of the request.
struct TakeResponse
{
  /// The node stops, and owns nothing any more.
  bool mLeaving = false;
  std::vector<TakeGrant> mGrants;

  bool operator==(const TakeResponse&) const = default;
};

/// Maximum number of tenants in a request.
constexpr std::size_t kMaxTakeItems = 1024;

/// Maximum number of members in a list.
constexpr std::size_t kMaxMembers = 32;

std::string
Encode(const TakeRequest& aRequest);
std::string
Encode(const TakeResponse& aResponse);
/// Fail with BadRequest.
core::Expected<TakeRequest>
DecodeTakeRequest(std::string_view aText);
core::Expected<TakeResponse>
DecodeTakeResponse(std::string_view aText);

/// The members among which a node has chosen itself as the owner of tenants,
/// for the former owner.
std::string
EncodeOwners(const std::vector<core::Incarnation>& aOwners);
/// Fails with BadRequest.
core::Expected<std::vector<core::Incarnation>>
DecodeOwners(std::string_view aText);

} // namespace nutmegrock::quota
