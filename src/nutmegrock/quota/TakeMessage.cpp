#include "quota/TakeMessage.h"

#include <charconv>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

// A message is a text of lines. The first line of a request has its version and
// state, and the incarnations of leaving owners; each further line has two
// numbers and a tenant, whose name is the rest of the line. The first line of a
// response has the version and "owner" or "leaving"; each further line has
// three numbers, or "-" for a tenant that the node does not own. A list of
// owners is one line with the version and their incarnations.

namespace nutmegrock::quota {

namespace {

constexpr std::string_view kVersion = "1";
/// Longer waits are a fault.
constexpr std::uint32_t kMaxRetryMs = 3'600'000;
constexpr std::uint32_t kMaxTokens = 1'000'000;
constexpr std::uint32_t kMillion = 1'000'000;
constexpr int kHexadecimal = 16;

/// Removes and returns the text before the separator.
std::string_view
NextPart(std::string_view& aText, char aSeparator)
{
  const std::size_t end = aText.find(aSeparator);
  const std::string_view part = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return part;
}

template<class Number>
std::optional<Number>
NumberOf(std::string_view aText, Number aMax, int aBase = 10)
{
  Number value{};
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, value, aBase);
  if (aText.empty() || code != std::errc() || stop != end || value > aMax) {
    return std::nullopt;
  }
  return value;
}

std::string_view
NameOf(TakeState aState)
{
  switch (aState) {
    case TakeState::Normal:
      return "normal";
    case TakeState::Fallback:
      return "fallback";
    case TakeState::Idle:
      break;
  }
  return "idle";
}

std::optional<TakeState>
StateOf(std::string_view aName)
{
  for (const TakeState state :
       { TakeState::Normal, TakeState::Fallback, TakeState::Idle }) {
    if (NameOf(state) == aName) {
      return state;
    }
  }
  return std::nullopt;
}

tl::unexpected<core::Error>
Invalid(std::string_view aWhat)
{
  return core::Fail(core::ErrorKind::BadRequest,
                    fmt::format("allowance message: invalid {}", aWhat));
}

core::Expected<std::vector<core::Incarnation>>
MembersOf(std::string_view aText)
{
  std::vector<core::Incarnation> members;
  while (!aText.empty()) {
    const auto bits = NumberOf<std::uint64_t>(
      NextPart(aText, ' '), ~std::uint64_t{ 0 }, kHexadecimal);
    if (!bits || members.size() >= kMaxMembers) {
      return Invalid("list of members");
    }
    members.push_back({ *bits });
  }
  return members;
}

} // namespace

std::string
Encode(const TakeRequest& aRequest)
{
  std::string text = fmt::format("{} {}", kVersion, NameOf(aRequest.mState));
  for (const core::Incarnation member : aRequest.mLeaving) {
    text += " " + member.ToString();
  }
  for (const TakeItem& item : aRequest.mItems) {
    text +=
      fmt::format("\n{} {} {}", item.mWaiting, item.mExpected, item.mTenant);
  }
  return text;
}

std::string
Encode(const TakeResponse& aResponse)
{
  std::string text =
    fmt::format("{} {}", kVersion, aResponse.mLeaving ? "leaving" : "owner");
  for (const TakeGrant& grant : aResponse.mGrants) {
    text += grant.mOwned ? fmt::format("\n{} {} {}",
                                       grant.mGranted,
                                       grant.mRetryAfter.count(),
                                       grant.mSharePpm)
                         : "\n-";
  }
  return text;
}

core::Expected<TakeRequest>
DecodeTakeRequest(std::string_view aText)
{
  TakeRequest request;
  std::string_view head = NextPart(aText, '\n');
  if (NextPart(head, ' ') != kVersion) {
    return Invalid("version");
  }
  const auto state = StateOf(NextPart(head, ' '));
  if (!state) {
    return Invalid("state");
  }
  request.mState = *state;
  auto leaving = MembersOf(head);
  if (!leaving) {
    return tl::make_unexpected(leaving.error());
  }
  request.mLeaving = std::move(*leaving);
  while (!aText.empty()) {
    std::string_view line = NextPart(aText, '\n');
    const auto waiting = NumberOf(NextPart(line, ' '), kMaxTokens);
    const auto expected = NumberOf(NextPart(line, ' '), kMaxTokens);
    if (!waiting || !expected) {
      return Invalid("number of tokens");
    }
    if (line.empty() || request.mItems.size() >= kMaxTakeItems) {
      return Invalid("tenant");
    }
    request.mItems.push_back({ std::string(line), *waiting, *expected });
  }
  return request;
}

core::Expected<TakeResponse>
DecodeTakeResponse(std::string_view aText)
{
  TakeResponse response;
  std::string_view head = NextPart(aText, '\n');
  if (NextPart(head, ' ') != kVersion) {
    return Invalid("version");
  }
  if (head != "owner" && head != "leaving") {
    return Invalid("state");
  }
  response.mLeaving = head == "leaving";
  while (!aText.empty()) {
    std::string_view line = NextPart(aText, '\n');
    if (response.mGrants.size() >= kMaxTakeItems) {
      return Invalid("number of grants");
    }
    if (line == "-") {
      response.mGrants.emplace_back();
      continue;
    }
    const auto granted = NumberOf(NextPart(line, ' '), kMaxTokens);
    const auto retry = NumberOf(NextPart(line, ' '), kMaxRetryMs);
    const auto share = NumberOf(line, kMillion);
    if (!granted || !retry || !share) {
      return Invalid("grant");
    }
    response.mGrants.push_back(
      { true, *granted, std::chrono::milliseconds(*retry), *share });
  }
  return response;
}

std::string
EncodeOwners(const std::vector<core::Incarnation>& aOwners)
{
  std::string text(kVersion);
  for (const core::Incarnation member : aOwners) {
    text += " " + member.ToString();
  }
  return text;
}

core::Expected<std::vector<core::Incarnation>>
DecodeOwners(std::string_view aText)
{
  if (NextPart(aText, ' ') != kVersion) {
    return Invalid("version");
  }
  return MembersOf(aText);
}

} // namespace nutmegrock::quota
