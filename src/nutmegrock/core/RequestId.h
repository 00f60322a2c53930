#pragma once

#include "core/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::core {

/// Position of a customer request among all of equal importance, 0 to
/// kCohorts - 1. All hops of one request share it.
using Cohort = std::uint8_t;
constexpr unsigned kCohorts = 128;

/// Identity of one customer request over all its hops and resends.
class RequestId
{
public:
  /// Longest accepted text in bytes.
  static constexpr std::size_t kMaxLength = 64;

  /// Accepts 1 to kMaxLength letters, digits, '-', '_', '.' and ':'. Fails with
  /// BadRequest.
  static Expected<RequestId> Parse(std::string_view aText);

  /// An identity of 128 random bits, written as 32 hexadecimal digits.
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
