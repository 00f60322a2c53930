#include "gateway/PeerNote.h"

#include "gateway/TextFields.h"

#include <cmath>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::gateway {

namespace {

constexpr double kThousandth = 1000.0;

std::int64_t
ToThousandths(double aValue)
{
  return std::llround(aValue * kThousandth);
}

/// A load of millions would only come from a fault; it is cut.
constexpr std::int64_t kMostThousandths = 1'000'000;

std::optional<double>
FromThousandths(std::string_view aText)
{
  const auto value = ParseNumber<std::int64_t>(aText);
  if (!value || *value < 0) {
    return std::nullopt;
  }
  return static_cast<double>(std::min(*value, kMostThousandths)) / kThousandth;
}

core::ErrorKind
KindOf(std::string_view aName)
{
  for (const core::ErrorRow& row : core::ErrorTable()) {
    if (row.mName == aName) {
      return row.mKind;
    }
  }
  return core::ErrorKind::Internal;
}

bool
ReadCost(std::string_view aValue, PeerNote& aNote)
{
  overload::RouteCost cost;
  const auto parts = SplitText(aValue, ',');
  // Complete or not, then internal, from outside, or not known.
  const std::string_view flags = parts.front();
  cost.mComplete = !flags.empty() && flags[0] == '1';
  if (flags.size() > 1 && flags[1] != '?') {
    cost.mInternal = flags[1] == 'i';
  }
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto fields = SplitText(parts[i], ':');
    const auto seconds =
      fields.size() == 2 ? FromThousandths(fields[1]) : std::nullopt;
    if (!seconds) {
      return false;
    }
    cost.mServices.push_back({ std::string(fields[0]), *seconds });
  }
  aNote.mCost = std::move(cost);
  return true;
}

bool
ReadLoads(std::string_view aValue, PeerNote& aNote)
{
  for (const std::string_view part : SplitText(aValue, ',')) {
    const auto fields = SplitText(part, ':');
    const auto load =
      fields.size() == 4 ? FromThousandths(fields[2]) : std::nullopt;
    const auto age = load ? ParseNumber<std::int64_t>(fields[3]) : std::nullopt;
    if (!age || *age < 0) {
      return false;
    }
    aNote.mLoads.push_back({ std::string(fields[0]),
                             std::string(fields[1]),
                             *load,
                             std::chrono::milliseconds(*age) });
  }
  return true;
}

bool
ReadError(std::string_view aValue, PeerNote& aNote)
{
  const auto fields = SplitText(aValue, ':');
  if (fields.size() != 3) {
    return false;
  }
  const auto after = ParseNumber<std::int64_t>(fields[2]);
  if (!after) {
    return false;
  }
  core::Error error = core::MakeError(KindOf(fields[0]), "at the serving node");
  error.mRun = fields[1] == core::NameOf(core::RunCertainty::NotRun)
                 ? core::RunCertainty::NotRun
                 : core::RunCertainty::Unknown;
  error.mRetryAfter = std::chrono::milliseconds(*after);
  aNote.mError = std::move(error);
  return true;
}

bool
ReadField(std::string_view aField, PeerNote& aNote)
{
  if (aField.size() < 2 || aField[1] != '=') {
    return false;
  }
  const std::string_view value = aField.substr(2);
  switch (aField[0]) {
    case 'l': {
      const auto load = FromThousandths(value);
      aNote.mLoad = load.value_or(0);
      return load.has_value();
    }
    case 's':
      aNote.mLeaving = value == "1";
      return true;
    case 'v': {
      const auto version = ParseNumber<std::uint64_t>(value);
      aNote.mRouteVersion = version.value_or(0);
      return version.has_value();
    }
    case 'c':
      return ReadCost(value, aNote);
    case 'p':
      return ReadLoads(value, aNote);
    case 'e':
      return ReadError(value, aNote);
    default:
      return true;
  }
}

} // namespace

std::string
Encode(const PeerNote& aNote)
{
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(out,
                 "l={};s={};v={}",
                 ToThousandths(aNote.mLoad),
                 aNote.mLeaving ? 1 : 0,
                 aNote.mRouteVersion);
  if (aNote.mCost) {
    const auto internal = aNote.mCost->mInternal;
    fmt::format_to(out,
                   ";c={}{}",
                   aNote.mCost->mComplete ? 1 : 0,
                   !internal ? '?' : (*internal ? 'i' : 'o'));
    for (const overload::ServiceCost& cost : aNote.mCost->mServices) {
      fmt::format_to(
        out, ",{}:{}", cost.mService, ToThousandths(cost.mSlotSeconds));
    }
  }
  const char* separator = ";p=";
  for (const overload::LoadReport& report : aNote.mLoads) {
    fmt::format_to(
      out,
      "{}{}:{}:{}:{}",
      separator,
      report.mService,
      report.mZone,
      ToThousandths(report.mLoad),
      std::chrono::duration_cast<std::chrono::milliseconds>(report.mAge)
        .count());
    separator = ",";
  }
  if (aNote.mError) {
    fmt::format_to(out,
                   ";e={}:{}:{}",
                   core::RowOf(aNote.mError->mKind).mName,
                   core::NameOf(aNote.mError->mRun),
                   aNote.mError->mRetryAfter.count());
  }
  return text;
}

core::Expected<PeerNote>
DecodePeerNote(std::string_view aText)
{
  PeerNote note;
  for (const std::string_view field : SplitText(aText, ';')) {
    if (!ReadField(field, note)) {
      return core::Fail(core::ErrorKind::ProtocolError,
                        fmt::format("note field \"{}\" cannot be read", field));
    }
  }
  return note;
}

} // namespace nutmegrock::gateway
