#pragma once

#include "experiment/DeploymentSpec.h"
#include "experiment/LatencyHistogram.h"
#include "experiment/Outcome.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// Outcomes of the requests of one kind.
struct KindSummary
{
  std::string mName;
  bool mImportant = false;
  std::size_t mOffered = 0;
  std::size_t mCompleted = 0;
  std::size_t mMismatched = 0;
  /// Requests that were not completed, by the reason of their last response.
  std::map<std::string, std::size_t> mReasons;
  /// Sends after the first of each request.
  std::size_t mResends = 0;
  /// Latencies of the completed requests.
  LatencyHistogram mLatencies;
};

/// Evaluates the records of the requests that arrived in [aFrom, aTo), in
/// seconds.
class LoadSummary
{
public:
  LoadSummary(const std::vector<RequestKind>& aKinds,
              const std::vector<OperationRecord>& aRecords,
              double aFrom,
              double aTo);

  const std::vector<KindSummary>& Kinds() const { return mKinds; }
  std::size_t Offered() const;
  std::size_t Completed() const;
  std::size_t Mismatched() const;
  /// Requests/s that completed within the window, whenever they arrived: in an
  /// overload, requests that arrive in the window may complete only after the
  /// load has ended.
  double Goodput() const;
  /// Completed share of the important requests that arrived in a half second in
  /// which an arriving unimportant request was admitted; 1 if there are none.
  double ImportantCompleted() const;
  /// Completed share of all requests of that importance; 1 if there are none.
  double CompletedShare(bool aImportant) const;

private:
  struct Bin
  {
    std::size_t mImportant = 0;
    std::size_t mImportantCompleted = 0;
    std::size_t mOthersCompleted = 0;
  };

  double mFrom;
  double mTo;
  std::vector<KindSummary> mKinds;
  std::vector<Bin> mBins;
  std::size_t mCompletedInWindow = 0;
};

/// Seconds from aCauseEnd until the completed share of requests stays at or
/// above aShare of that in the normal phase, by arrival in sliding windows of
/// one second; infinite if not reached before aEnd.
double
RecoverySeconds(const std::vector<OperationRecord>& aRecords,
                double aNormalFrom,
                double aNormalTo,
                double aCauseEnd,
                double aEnd,
                double aShare);

} // namespace nutmegrock::experiment
