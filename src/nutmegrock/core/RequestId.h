#pragma once

#include "core/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::core {

/// Position of a customer request among those of equal importance, from 0 to
/// kCohorts - 1. Derived from its identity, so it is the same at all hops.
using Cohort = std::uint8_t;
constexpr unsigned kCohorts = 128;

/// Identity of one customer request over all its hops and retries.
class RequestId
{
public:
  /// Maximum length in bytes.
  static constexpr std::size_t kMaxLength = 64;

  /// Accepts 1 to kMaxLength letters, digits, '-', '_', '.' and ':'. Fails with
  /// BadRequest.
  static Expected<RequestId> Parse(std::string_view aText);

  /// Makes an identity from 128 random bits, written as 32 hexadecimal digits.
  static RequestId FromBits(std::uint64_t aHigh, std::uint64_t aLow);

  const std::string& ToString() const { return mText; }
  /// 64-bit xxHash of the text.
  std::uint64_t Hash() const { return mHash; }
  Cohort CohortOf() const { return static_cast<Cohort>(mHash % kCohorts); }

  bool operator==(const RequestId& aOther) const
  {
    return mText == aOther.mText;
  }
  auto operator<=>(const RequestId& aOther) const
  {
    return mText <=> aOther.mText;
  }

private:
  explicit RequestId(std::string aText);

  std::string mText;
  std::uint64_t mHash;
};

} // namespace nutmegrock::core
