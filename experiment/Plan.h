#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::experiment {

/// One nested call of a customer request, with its own nested calls.
struct PlannedCall
{
  std::string mService;
  std::string mPath;
  /// Steps run in sequence; the calls of one step run in parallel.
  std::vector<std::vector<PlannedCall>> mSteps;

  bool operator==(const PlannedCall&) const = default;
};

/// The nested calls that a backend server makes for a request.
///
/// Text form: `service/path`, `+` between parallel calls, `,` between steps,
/// and the nested plan of a call in parentheses, for example
/// `till/check+tracker/order(assessor/estimate)`.
struct Plan
{
  std::vector<std::vector<PlannedCall>> mSteps;

  /// Parses the text form; an empty text is an empty plan. Fails with
  /// BadRequest if the text is malformed or nested deeper than kMaxDepth.
  static core::Expected<Plan> Parse(std::string_view aText);
  static constexpr int kMaxDepth = 15;

  std::string ToString() const;
  /// Number of nested calls at all depths.
  std::size_t CallCount() const;

  bool operator==(const Plan&) const = default;
};

} // namespace nutmegrock::experiment
