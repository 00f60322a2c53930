#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>

namespace nutmegrock::standin_backend {

/// How the reported load relates to the real load.
enum class LoadReport : std::uint8_t
{
  Truthful,
  Zero,
  Times3,
  Late
};

/// Injected faults, set by POST /control.
struct Behaviour
{
  /// Factor on the service time.
  double mSlowdown = 1.0;
  /// Share of runs that end with 500 after their service time.
  double mFail = 0.0;
  /// Share of requests that get 503 not-run before they run.
  double mShed = 0.0;
  /// Runs occupy their slot and never respond.
  bool mHang = false;
  LoadReport mLoadReport = LoadReport::Truthful;
  /// Nested calls are sent without the Nutmegrock-Call header.
  bool mDropHeaders = false;

  /// Returns a copy with the fields of a JSON object replaced. Fails with
  /// BadRequest for malformed JSON and unknown fields or values.
  core::Expected<Behaviour> With(const std::string& aJson) const;

  bool operator==(const Behaviour&) const = default;
};

} // namespace nutmegrock::standin_backend
