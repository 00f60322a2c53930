#pragma once

#include <mutex>
#include <utility>
#include <vector>

namespace nutmegrock::tests {

/// Spans of time in which something is disturbed, in seconds. Safe for use by
/// several threads.
class Timeline
{
public:
  void Add(double aFrom, double aTo);
  /// Returns true if a span overlaps with the time between both.
  bool IsDisturbed(double aFrom, double aTo) const;

private:
  mutable std::mutex mMutex;
  std::vector<std::pair<double, double>> mSpans;
};

} // namespace nutmegrock::tests
