#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>

namespace nutmegrock::standin_backend {

/// Slots of a server with a bounded first-in, first-out wait queue. Safe from
/// any thread; handlers run outside the lock.
class SlotPool
{
public:
  using Ticket = std::uint64_t;

  SlotPool(std::size_t aSlots, std::size_t aQueueLimit);

  /// Calls aGranted when a slot is free, immediately if there is one. Returns
  /// nothing, and never calls aGranted, if the queue is full.
  std::optional<Ticket> Acquire(std::function<void()> aGranted);
  /// Removes the ticket from the queue. Returns false if the slot was already
  /// granted; the caller must then release it.
  bool Abandon(Ticket aTicket);
  /// Releases a granted slot and grants it to the next waiter.
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
