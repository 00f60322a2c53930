#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

struct DecisionLogSettings
{
  /// Lines a second for failures and refusals of requests, on average, and the
  /// number that may come at once. Writing a line costs processor time that
  /// requests need under load.
  double mRequestLines = 8;
  double mBurst = 40;
  /// One in this many successful requests gets a line; 0: none.
  std::uint32_t mSampleEvery = 2000;
};

/// Lines about requests and about what the process believes, in logfmt, within
/// a budget. Changes of state are always written; lines about requests are
/// dropped beyond the budget and counted. Used on one thread; writing does not
/// block.
class DecisionLog
{
public:
  /// Takes a line without line end.
  using Writer = std::function<void(std::string_view)>;

  DecisionLog(DecisionLogSettings aSettings, Writer aWriter);

  /// A change of state.
  void State(std::string_view aText) { mWriter(aText); }
  /// Whether a line about a refused or failed request may be written now. Ask
  /// before the line is put together.
  bool MayWriteRequest(core::TimePoint aNow);
  /// Whether this successful request is one of the samples.
  bool IsSample();
  void Request(std::string_view aText) { mWriter(aText); }
  /// Lines about requests that were left out so far.
  std::uint64_t Dropped() const { return mDropped; }

private:
  const DecisionLogSettings mSettings;
  const Writer mWriter;
  double mTokens;
  core::TimePoint mFilledAt;
  std::uint64_t mDropped = 0;
  std::uint64_t mSuccesses = 0;
};

} // namespace nutmegrock::gateway
