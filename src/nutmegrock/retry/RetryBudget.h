#pragma once

#include <cstdint>
#include <vector>

namespace nutmegrock::retry {

/// Part of a budget handed to one nested call.
struct RetryGrant
{
  /// Identifies the grant within its RetryBudget.
  std::uint32_t mId = 0;
  /// Further attempts the nested call may use.
  std::uint32_t mAmount = 0;

  bool operator==(const RetryGrant&) const = default;
};

/// Further attempts that one call in flight and the calls below it may still
/// use. The sum over the call's own retries, open grants and what is left never
/// exceeds what the call was given. Not synchronized: guarded by the lock of
/// the call it belongs to.
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aGiven);

  /// Hands half of what is left, rounded up, to a nested call.
  RetryGrant Grant();
  /// Takes back the unused part of a grant, at most its amount. A grant that is
  /// not known, was returned before, or comes after Close() changes nothing, so
  /// a lost or late answer counts as spent.
  void Return(std::uint32_t aGrantId, std::uint32_t aUnused);
  /// Uses one for a retry of this call; false when none is left.
  bool Spend();
  /// Ends the call: returns the unused part for the caller above and leaves
  /// nothing here.
  std::uint32_t Close();

  std::uint32_t Remaining() const { return mLeft; }

private:
  std::uint32_t mLeft;
  std::uint32_t mNextId = 1;
  std::vector<RetryGrant> mOpen;
};

} // namespace nutmegrock::retry
