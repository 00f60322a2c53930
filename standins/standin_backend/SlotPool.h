#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>

namespace nutmegrock::standin_backend {

/// The slots of a server with a bounded first-in, first-out queue behind them.
/// Safe from any thread; handlers run outside the lock.
class SlotPool
{
public:
  using Ticket = std::uint64_t;

  SlotPool(std::size_t aSlots, std::size_t aQueueLimit);

  /// Calls aGranted once a slot is free, at once if there is one. Returns
  /// nothing, and never calls, if the queue is full.
  std::optional<Ticket> Acquire(std::function<void()> aGranted);
  /// Leaves the queue. Returns false if the slot is already granted; the
  /// holder then has to release it.
  bool Abandon(Ticket aTicket);
  /// Gives a granted slot back.
  void Release();

  std::size_t InUse() const;
  std::size_t Waiting() const;

private:
  struct Waiter
  {
    Ticket mTicket;
    std::function<void()> mGranted;
  };

  const std::size_t mSlots;
  const std::size_t mQueueLimit;
  mutable std::mutex mMutex;
  std::size_t mInUse = 0;
  Ticket mNextTicket = 1;
  std::list<Waiter> mWaiters;
};

} // namespace nutmegrock::standin_backend
