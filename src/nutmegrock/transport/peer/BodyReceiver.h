#pragma once

#include "transport/Body.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegrock::transport::peer {

/// A body that arrives in frames. Holds at most kWindowBytes: the sender has
/// credit for as much, and gets more when chunks are taken. Safe from any
/// thread.
class BodyReceiver final : public BodyReader
{
public:
  /// Credit to be sent to the sender, in bytes.
  using CreditHook = std::function<void(std::size_t)>;

  BodyReceiver(std::string aFirstBytes,
               CreditHook aCredit,
               std::function<void()> aDropped);
  BodyReceiver(const BodyReceiver&) = delete;
  BodyReceiver& operator=(const BodyReceiver&) = delete;
  /// Runs the dropped hook if the body was not taken to its end.
  ~BodyReceiver() override;

  /// Gives all bytes at hand as one chunk.
  void Next(ChunkHandler aHandler) override;
  /// Adds a chunk; false if it exceeds the credit.
  bool Push(BodyChunk aChunk);
  /// Ends the body with an error, in place of bytes not yet taken.
  void Fail(core::Error aError);
  /// Bytes held now.
  std::size_t Held() const;

private:
  /// Takes what the waiting handler can have, under the lock.
  std::optional<core::Expected<BodyChunk>> Take(std::size_t& aCredit);

  const CreditHook mCredit;
  const std::function<void()> mDropped;
  mutable std::mutex mMutex;
  ChunkHandler mWaiting;
  std::string mHeld;
  bool mHasLast = false;
  bool mTakenToEnd = false;
  std::optional<core::Error> mError;
  /// Bytes that the sender may still send.
  std::size_t mRoom;
  /// Bytes taken, for which no credit was sent yet.
  std::size_t mOwed = 0;
};

} // namespace nutmegrock::transport::peer
