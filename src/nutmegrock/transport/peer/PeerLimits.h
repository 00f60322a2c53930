#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::peer {

/// Version of the frames; both sides must have the same.
constexpr std::int32_t kProtocol = 1;

/// Largest frame in bytes, without its length. Bounds what one peer can make
/// the other hold before a frame is decoded.
constexpr std::size_t kMaxFrameBytes = std::size_t{ 1024 } * 1024;

/// Most bytes of a body in the first frame, and in each chunk after it.
constexpr std::size_t kChunkBytes = std::size_t{ 64 } * 1024;

/// Most bytes of one body that were sent but not yet consumed, with the first
/// ones. Bounds what a receiver holds of one body.
constexpr std::size_t kWindowBytes = std::size_t{ 256 } * 1024;

/// Most headers of one call or answer. A head of 64 KiB, the largest that the
/// HTTP side accepts, cannot hold more.
constexpr std::size_t kMaxHeaders = 20'000;

/// Values beyond these are errors of the sender: no profile grants them.
constexpr std::int32_t kMaxRetryBudget = 1000;
constexpr std::chrono::hours kMaxTimeLeft{ 24 };

/// Unsent bytes at which a server reads no further frames of a connection, so
/// that a peer which does not read its answers is slowed down.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 16 } * 1024 * 1024;

} // namespace nutmegrock::transport::peer
