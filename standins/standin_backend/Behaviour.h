#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>

namespace nutmegrock::standin_backend {

enum class LoadReport : std::uint8_t
{
  Truthful,
  Zero,
  Times3,
  Late
};

/// Fault switches, set by POST /control.
struct Behaviour
{
  /// Factor on the service time.
  double mSlowdown = 1.0;
  /// Share of runs that end with 500 after their service time.
  double mFail = 0.0;
  /// Share of requests answered 503 not-run before they run.
  double mShed = 0.0;
  /// Runs hold their slot and never answer.
  bool mHang = false;
  LoadReport mLoadReport = LoadReport::Truthful;
  /// Nested calls go out without the Nutmegrock-Call header.
  bool mDropHeaders = false;

  /// This behaviour with the fields of a JSON object replaced. Fails with
  /// BadRequest for malformed JSON and unknown values.
  core::Expected<Behaviour> With(const std::string& aJson) const;

  bool operator==(const Behaviour&) const = default;
};

} // namespace nutmegrock::standin_backend
