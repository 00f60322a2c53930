#pragma once

#include "experiment/DeploymentSpec.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// What a deployment completes if no slot time is wasted and nothing waits.
/// A run holds its slot for its service time and its nested calls; parallel
/// calls take as long as the longest one.
class IdealCapacity
{
public:
  /// aSlowdowns holds factors on the service times by service name.
  explicit IdealCapacity(DeploymentSpec aSpec,
                         std::map<std::string, double> aSlowdowns = {});

  /// Slot seconds that one request of a kind takes, by service.
  std::map<std::string, double> SlotSeconds(const RequestKind& aKind) const;
  /// Customer requests/s of the mix at which the busiest service is full.
  double Capacity() const;
  /// Requests/s of each kind that complete at an offered rate in requests/s:
  /// kinds of a higher rank get the slots first; kinds of equal rank are cut by
  /// the same share until a service that they need is full, and those that do
  /// not need it continue to grow.
  std::vector<double> Completed(double aOffered) const;
  /// Sum of Completed().
  double Goodput(double aOffered) const;

private:
  double AddCall(const std::string& aService,
                 const std::vector<std::vector<PlannedCall>>& aSteps,
                 std::map<std::string, double>& aSeconds) const;
  void Fill(int aRank,
            double aOffered,
            std::map<std::string, double>& aLeft,
            std::vector<double>& aCompleted) const;

  DeploymentSpec mSpec;
  std::map<std::string, double> mSlowdowns;
};

} // namespace nutmegrock::experiment
