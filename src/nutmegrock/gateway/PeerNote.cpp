#include "gateway/PeerNote.h"

#include "gateway/CostText.h"
#include "gateway/TextFields.h"

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
    case 'q': {
      const auto queue_time = ParseNumber<std::uint32_t>(value);
      aNote.mQueueTime = std::chrono::milliseconds(queue_time.value_or(0));
      return queue_time.has_value();
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
  if (aNote.mQueueTime.count() > 0) {
    fmt::format_to(out, ";q={}", aNote.mQueueTime.count());
  }
  if (aNote.mCost) {
    text += ";c=" + EncodeCost(*aNote.mCost);
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
