#pragma once

#include <atomic>
#include <cstdint>

namespace nutmegrock::membership::udp {

/// Counters of one node since its start.
struct MembershipCounters
{
  std::atomic<std::uint64_t> mDatagramsSent{ 0 };
  std::atomic<std::uint64_t> mDatagramsReceived{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  /// Suspicions and death declarations about this node that it contradicted.
  std::atomic<std::uint64_t> mRefuted{ 0 };
  /// Members this node suspected after its own probes.
  std::atomic<std::uint64_t> mSuspected{ 0 };
  /// Members this node declared dead.
  std::atomic<std::uint64_t> mDeclaredDead{ 0 };
  /// Received datagrams dropped because they exceed 1,200 bytes.
  std::atomic<std::uint64_t> mDroppedOversized{ 0 };
  /// Received datagrams dropped because they do not decode.
  std::atomic<std::uint64_t> mDroppedMalformed{ 0 };
  /// Datagrams that the socket refused to send.
  std::atomic<std::uint64_t> mSendFailed{ 0 };
  /// Control requests sent, and those that failed.
  std::atomic<std::uint64_t> mPulls{ 0 };
  std::atomic<std::uint64_t> mPullsFailed{ 0 };
  /// Failed calls to the table service.
  std::atomic<std::uint64_t> mStoreFailed{ 0 };
};

} // namespace nutmegrock::membership::udp
