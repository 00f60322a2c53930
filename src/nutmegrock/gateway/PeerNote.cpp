#include "gateway/PeerNote.h"

#include "gateway/CostText.h"
#include "gateway/TextFields.h"

#include <algorithm>
#include <iterator>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::gateway {

namespace {

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
  aNote.mCost = DecodeCost(aValue);
  return aNote.mCost.has_value();
}

bool
ReadLoads(std::string_view aValue, PeerNote& aNote)
{
  for (const std::string_view part : SplitText(aValue, ',')) {
    const auto fields = SplitText(part, ':');
    const auto load =
      fields.size() == 5 ? FromThousandths(fields[2]) : std::nullopt;
    const auto cutoff = load ? FromThousandths(fields[3]) : std::nullopt;
    const auto age =
      cutoff ? ParseNumber<std::int64_t>(fields[4]) : std::nullopt;
    if (!age || *age < 0) {
      return false;
    }
    aNote.mLoads.push_back({ std::string(fields[0]),
                             std::string(fields[1]),
                             *load,
                             *cutoff,
                             std::chrono::milliseconds(*age) });
  }
  return true;
}

bool
ReadDownstream(std::string_view aValue, PeerNote& aNote)
{
  for (const std::string_view part : SplitText(aValue, ',')) {
    const auto fields = SplitText(part, ':');
    const auto cutoff =
      fields.size() == 3 ? FromThousandths(fields[1]) : std::nullopt;
    const auto rate = cutoff ? FromThousandths(fields[2]) : std::nullopt;
    if (!rate) {
      return false;
    }
    aNote.mDownstream.push_back({ std::string(fields[0]), *cutoff, *rate });
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
ReadThousandths(std::string_view aValue, double& aTarget)
{
  const auto value = FromThousandths(aValue);
  aTarget = value.value_or(aTarget);
  return value.has_value();
}

bool
ReadMilliseconds(std::string_view aValue, std::chrono::milliseconds& aTarget)
{
  const auto value = ParseNumber<std::uint32_t>(aValue);
  aTarget = std::chrono::milliseconds(value.value_or(0));
  return value.has_value();
}

bool
ReadPercent(std::string_view aValue, std::uint32_t& aTarget)
{
  constexpr std::uint32_t kMin = 10;
  constexpr std::uint32_t kMax = 1000;
  const auto value = ParseNumber<std::uint32_t>(aValue);
  aTarget = std::clamp(value.value_or(aTarget), kMin, kMax);
  return value.has_value();
}

bool
ReadField(std::string_view aField, PeerNote& aNote)
{
  if (aField.size() < 2 || aField[1] != '=') {
    return false;
  }
  const std::string_view value = aField.substr(2);
  switch (aField[0]) {
    case 'l':
      return ReadThousandths(value, aNote.mLoad);
    case 'o':
      return ReadThousandths(value, aNote.mOccupancy);
    case 'r':
      return ReadThousandths(value, aNote.mCutoff);
    case 'w': {
      const auto window = ParseNumber<std::uint32_t>(value);
      aNote.mWindow = window.value_or(0);
      return window.has_value();
    }
    case 'q':
      return ReadMilliseconds(value, aNote.mQueueTime);
    case 't':
      return ReadMilliseconds(value, aNote.mRunTime);
    case 'f':
      return ReadPercent(value, aNote.mWorkPercent);
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
    case 'd':
      return ReadDownstream(value, aNote);
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
                 "l={};o={};s={};v={}",
                 ToThousandths(aNote.mLoad),
                 ToThousandths(aNote.mOccupancy),
                 aNote.mLeaving ? 1 : 0,
                 aNote.mRouteVersion);
  if (aNote.mCutoff < overload::kOpenRank) {
    fmt::format_to(out, ";r={}", ToThousandths(aNote.mCutoff));
  }
  if (aNote.mWindow > 0) {
    fmt::format_to(out, ";w={}", aNote.mWindow);
  }
  const char* part = ";d=";
  for (const DownstreamCutoff& downstream : aNote.mDownstream) {
    fmt::format_to(out,
                   "{}{}:{}:{}",
                   part,
                   downstream.mService,
                   ToThousandths(downstream.mCutoff),
                   ToThousandths(downstream.mRate));
    part = ",";
  }
  if (aNote.mQueueTime.count() > 0) {
    fmt::format_to(out, ";q={}", aNote.mQueueTime.count());
  }
  if (aNote.mRunTime.count() > 0) {
    fmt::format_to(out, ";t={}", aNote.mRunTime.count());
  }
  if (aNote.mWorkPercent != core::kUsualWorkPercent) {
    fmt::format_to(out, ";f={}", aNote.mWorkPercent);
  }
  if (aNote.mCost) {
    text += ";c=" + EncodeCost(*aNote.mCost);
  }
  const char* separator = ";p=";
  for (const overload::LoadReport& report : aNote.mLoads) {
    fmt::format_to(
      out,
      "{}{}:{}:{}:{}:{}",
      separator,
      report.mService,
      report.mZone,
      ToThousandths(report.mLoad),
      ToThousandths(report.mCutoff),
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
