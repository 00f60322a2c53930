#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nutmegrock::transport::peer {

/// Reason why a peer connection ended, or a frame was dropped.
enum class PeerEvent : std::uint8_t
{
  /// Closed by this side: idle, or shutting down.
  ClosedHere,
  /// Closed by the other side, or a socket error.
  ClosedByPeer,
  /// Not connected within the connect timeout, or refused.
  ConnectFailed,
  /// A frame above the size limit.
  FrameTooLarge,
  /// A frame that is not a valid PeerFrame.
  FrameMalformed,
  /// A frame that is not allowed in the current state, such as a body chunk
  /// before its response.
  FrameUnexpected,
  /// Body bytes beyond the credit window.
  CreditExceeded,
  /// No Hello within the timeout, or with another protocol version.
  HelloFailed,
  /// Wrong or missing proof of the shared secret.
  AuthenticationFailed,
  /// More connections than mMaxConnections.
  TooManyConnections,
  /// No frame arrived while a control request waited until its deadline.
  Silent,
  /// A frame for a call that has ended; dropped, the connection stays.
  LateFrame
};

constexpr std::size_t kPeerEvents =
  static_cast<std::size_t>(PeerEvent::LateFrame) + 1;

/// The name of an event in counters, which must not change.
constexpr std::string_view
NameOf(PeerEvent aEvent)
{
  constexpr std::array<std::string_view, kPeerEvents> kNames = {
    "closed_here",          "closed_by_peer",  "connect_failed",
    "frame_too_large",      "frame_malformed", "frame_unexpected",
    "credit_exceeded",      "hello_failed",    "authentication_failed",
    "too_many_connections", "silent",          "late_frame"
  };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

/// Counters of peer events. Thread-safe.
class PeerCounts
{
public:
  void Add(PeerEvent aEvent)
  {
    mCounts.at(static_cast<std::size_t>(aEvent))
      .fetch_add(1, std::memory_order_relaxed);
  }
  std::uint64_t Of(PeerEvent aEvent) const
  {
    return mCounts.at(static_cast<std::size_t>(aEvent))
      .load(std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, kPeerEvents> mCounts{};
};

} // namespace nutmegrock::transport::peer
