#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace nutmegrock::membership {

/// Small seeded random number generator (SplitMix64 by Steele, Lea and Flood,
/// OOPSLA 2014); 8 bytes of state, where the standard engines need kilobytes.
/// Meets UniformRandomBitGenerator.
class Random
{
public:
  using result_type = std::uint64_t; // NOLINT: name required by the standard

  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  static constexpr std::uint64_t min() { return 0; } // NOLINT: required name
  static constexpr std::uint64_t max()               // NOLINT: required name
  {
    return std::numeric_limits<std::uint64_t>::max();
  }

  std::uint64_t operator()()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t bits = mState;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    return bits ^ (bits >> 31U);
  }

  /// Returns a number from 0 to aCount - 1; aCount must not be 0. The modulo
  /// bias is negligible for the counts used here.
  std::size_t Below(std::size_t aCount) { return (*this)() % aCount; }
  /// Returns a number in [0, 1).
  double Unit() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

private:
  std::uint64_t mState;
};

} // namespace nutmegrock::membership
