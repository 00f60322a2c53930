#pragma once

#include "experiment/DeploymentSpec.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// Ideal throughput of a deployment: no slot time is wasted and no request
/// queues. A run holds its slot for its service time and its nested calls;
/// parallel calls take as long as the longest of them.
class IdealCapacity
{
public:
  /// aSlowdowns maps service names to factors on their service times.
  explicit IdealCapacity(DeploymentSpec aSpec,
                         std::map<std::string, double> aSlowdowns = {});

  /// Slot seconds that one request of a kind uses, by service.
  std::map<std::string, double> SlotSeconds(const RequestKind& aKind) const;
  /// Customer requests/s of the mix that saturate the busiest service.
  double Capacity() const;
  /// Completed requests/s of each kind at an offered rate in requests/s. Kinds
  /// of a higher rank are allocated slots first. Kinds of equal rank are
  /// completed at the same share until a service is saturated; kinds that do
  /// not need that service grow further.
  std::vector<double> Completed(double aOffered) const;
  /// Sum of Completed().
  double Goodput(double aOffered) const;

private:
  double AddCall(const std::string& aService,
                 const std::vector<std::vector<PlannedCall>>& aSteps,
                 std::map<std::string, double>& aSeconds) const;
  void AllocateRank(int aRank,
                    double aOffered,
                    std::map<std::string, double>& aFreeSlots,
                    std::vector<double>& aCompleted) const;

  DeploymentSpec mSpec;
  std::map<std::string, double> mSlowdowns;
};

} // namespace nutmegrock::experiment
