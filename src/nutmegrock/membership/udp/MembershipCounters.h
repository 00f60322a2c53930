#pragma once

#include <atomic>
#include <cstdint>

namespace nutmegrock::membership::udp {

/// Counters of a node since its start.
struct MembershipCounters
{
  std::atomic<std::uint64_t> mDatagramsSent{ 0 };
  std::atomic<std::uint64_t> mDatagramsReceived{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  /// Suspicions and deaths of this node that it refuted.
  std::atomic<std::uint64_t> mRefuted{ 0 };
  /// Members suspected after probes by this node.
  std::atomic<std::uint64_t> mSuspected{ 0 };
  /// Members that this node declared dead.
  std::atomic<std::uint64_t> mDeclaredDead{ 0 };
  /// Received datagrams dropped because they exceed 1,200 bytes.
  std::atomic<std::uint64_t> mDroppedOversized{ 0 };
  /// Received datagrams dropped because decoding failed.
  std::atomic<std::uint64_t> mDroppedMalformed{ 0 };
  /// Datagrams that could not be sent.
  std::atomic<std::uint64_t> mSendFailed{ 0 };
  /// Control requests sent, and those that failed.
  std::atomic<std::uint64_t> mPulls{ 0 };
  std::atomic<std::uint64_t> mPullsFailed{ 0 };
  /// Failed calls to the table service.
  std::atomic<std::uint64_t> mStoreFailed{ 0 };
};

} // namespace nutmegrock::membership::udp
