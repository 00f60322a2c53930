#pragma once

#include <cstdint>
#include <vector>

namespace nutmegrock::retry {

/// Part of a retry budget granted to one nested call.
struct RetryGrant
{
  /// Identifies the grant within its RetryBudget.
  std::uint32_t mId = 0;
  /// Retries that the nested call may use.
  std::uint32_t mAmount = 0;

  bool operator==(const RetryGrant&) const = default;
};

/// Retry budget of one call in flight and the calls below it. The sum of the
/// call's own retries, the open grants and the remaining retries never exceeds
/// the initial budget. Not synchronized: guarded by the lock of the call it
/// belongs to.
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aInitial);

  /// Grants half of the remaining retries, rounded up, to a nested call.
  RetryGrant Grant();
  /// Takes back the unused part of a grant, at most its amount. An unknown or
  /// already returned grant, or one returned after Close(), is ignored, so a
  /// lost or late response counts as fully spent.
  void Return(std::uint32_t aGrantId, std::uint32_t aUnused);
  /// Takes one retry for this call; false if none remains.
  bool Spend();
  /// Ends the call: returns the unused retries, to be given back to the caller,
  /// and leaves none.
  std::uint32_t Close();

  std::uint32_t Remaining() const { return mRemaining; }

private:
  std::uint32_t mRemaining;
  std::uint32_t mNextId = 1;
  std::vector<RetryGrant> mOpen;
};

} // namespace nutmegrock::retry
