#pragma once

#include "core/Time.h"

#include <cstdint>

namespace nutmegrock::quota {

/// Tokens that accumulate at a rate, up to a capacity.
class TokenBucket
{
public:
  /// An empty bucket that fills from aStart, which may be in the future.
  TokenBucket(core::TimePoint aStart, double aRatePerSecond, double aCapacity);

  /// Changes the limits. Tokens are cut to the new capacity.
  void SetLimits(core::TimePoint aNow, double aRatePerSecond, double aCapacity);
  /// Number of tokens.
  double Level(core::TimePoint aNow) const;
  /// Takes up to aWanted whole tokens, and leaves at least aReserve. Returns
  /// their number.
  std::uint32_t Take(core::TimePoint aNow,
                     std::uint32_t aWanted,
                     double aReserve = 0);
  /// Takes one token. If there is only a part of one, takes that, and succeeds
  /// with that probability: the average rate is the same for any capacity, so
  /// that buckets with a capacity below one token need not save up.
  /// @param aRandom a random number in [0, 1)
  bool TakeFraction(core::TimePoint aNow, double aRandom);
  /// Time until there are that many tokens; at most an hour.
  core::Duration TimeUntil(core::TimePoint aNow, double aTokens) const;

  double Rate() const { return mRate; }
  double Capacity() const { return mCapacity; }

private:
  void Fill(core::TimePoint aNow);

  double mRate;
  double mCapacity;
  double mTokens = 0;
  core::TimePoint mFilledAt;
};

} // namespace nutmegrock::quota
