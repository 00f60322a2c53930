#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::peer {

/// Version of the frame format; both sides must use the same.
constexpr std::int32_t kProtocolVersion = 1;

/// Maximum frame size in bytes, without the length prefix. Bounds what one peer
/// can make the other buffer before a frame is decoded.
constexpr std::size_t kMaxFrameBytes = std::size_t{ 1024 } * 1024;

/// Maximum bytes of a body in the first frame, and in each chunk after it.
constexpr std::size_t kChunkBytes = std::size_t{ 64 } * 1024;

/// Maximum bytes of one body that were sent but not yet consumed, including the
/// first ones. Bounds what a receiver buffers of one body.
constexpr std::size_t kWindowBytes = std::size_t{ 256 } * 1024;

/// Maximum headers of one call or response. A head of 64 KiB, the largest that
/// the HTTP side accepts, cannot contain more.
constexpr std::size_t kMaxHeaders = 20'000;

/// Larger values are protocol errors, since no profile allows them.
constexpr std::int32_t kMaxRetryBudget = 1000;
constexpr std::chrono::hours kMaxRemainingTime{ 24 };

/// Unsent bytes at which a server stops reading frames from a connection, as
/// back pressure on a peer that does not read its responses.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 16 } * 1024 * 1024;

} // namespace nutmegrock::transport::peer
