#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

struct DecisionLogSettings
{
  /// Average number of log lines a second for failed and refused requests, and
  /// the maximum burst. Writing a line costs processor time that requests need
  /// under load.
  double mRequestLinesPerSecond = 8;
  double mBurst = 40;
  /// One in this many successful requests is logged; 0: none.
  std::uint32_t mSampleInterval = 2000;
};

/// Writes log lines about requests and about state changes, in logfmt. State
/// changes are always written; lines about requests are limited in rate, and
/// dropped lines are counted. Used on one thread; does not block.
class DecisionLog
{
public:
  /// Receives a line without line end.
  using Writer = std::function<void(std::string_view)>;

  DecisionLog(DecisionLogSettings aSettings, Writer aWriter);

  /// Logs a state change.
  void LogState(std::string_view aText) { mWriter(aText); }
  /// Returns true if a line about a refused or failed request may be written
  /// now. Call it before formatting the line.
  bool ShouldLogRequest(core::TimePoint aNow);
  /// Returns true if this successful request is to be logged as a sample.
  bool IsSample();
  void LogRequest(std::string_view aText) { mWriter(aText); }
  /// Number of lines about requests dropped so far.
  std::uint64_t Dropped() const { return mDropped; }

private:
  const DecisionLogSettings mSettings;
  const Writer mWriter;
  double mTokens;
  core::TimePoint mRefilledAt;
  std::uint64_t mDropped = 0;
  std::uint64_t mSuccesses = 0;
};

} // namespace nutmegrock::gateway
