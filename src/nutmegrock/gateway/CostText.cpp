#include "gateway/CostText.h"

#include "gateway/TextFields.h"

#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::gateway {

namespace {

constexpr std::string_view kCallsWord = "calls";

} // namespace

std::string
EncodeCost(const overload::RouteCost& aCost)
{
  const auto internal = aCost.mInternal;
  std::string text = fmt::format(
    "{}{}", aCost.mComplete ? 1 : 0, !internal ? '?' : (*internal ? 'i' : 'o'));
  for (const overload::ServiceCost& cost : aCost.mServices) {
    fmt::format_to(std::back_inserter(text),
                   ",{}:{}",
                   cost.mService,
                   ToThousandths(cost.mSlotSeconds));
  }
  return text;
}

std::optional<overload::RouteCost>
DecodeCost(std::string_view aText)
{
  overload::RouteCost cost;
  const auto parts = SplitText(aText, ',');
  // Flags: complete or not, then internal, external or unknown.
  const std::string_view flags = parts.front();
  if (flags.size() != 2 || (flags[0] != '0' && flags[0] != '1')) {
    return std::nullopt;
  }
  cost.mComplete = flags[0] == '1';
  if (flags[1] != '?') {
    cost.mInternal = flags[1] == 'i';
  }
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto fields = SplitText(parts[i], ':');
    const auto seconds =
      fields.size() == 2 ? FromThousandths(fields[1]) : std::nullopt;
    if (!seconds) {
      return std::nullopt;
    }
    cost.mServices.push_back({ std::string(fields[0]), *seconds });
  }
  return cost;
}

std::string
EncodeLearned(const LearnedState& aState)
{
  std::string text;
  for (const auto& [route, cost] : aState.mCosts) {
    text += route + ' ' + EncodeCost(cost) + '\n';
  }
  for (const auto& [route, service] : aState.mDownstream) {
    text += fmt::format("{} {} {}\n", kCallsWord, route, service);
  }
  return text;
}

std::optional<LearnedState>
DecodeLearned(std::string_view aText)
{
  LearnedState state;
  for (const std::string_view line : SplitText(aText, '\n')) {
    if (line.empty()) {
      continue;
    }
    const auto fields = SplitText(line, ' ');
    if (fields.size() == 3 && fields[0] == kCallsWord && !fields[1].empty() &&
        !fields[2].empty()) {
      state.mDownstream.emplace(fields[1], fields[2]);
      continue;
    }
    auto cost = fields.size() == 2 ? DecodeCost(fields[1]) : std::nullopt;
    if (!cost || fields[0].empty()) {
      return std::nullopt;
    }
    state.mCosts.emplace(fields[0], std::move(*cost));
  }
  return state;
}

} // namespace nutmegrock::gateway
