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
  /// Requests that were not completed, by the reason of their last answer.
  std::map<std::string, std::size_t> mReasons;
  /// Sends after the first one of each request.
  std::size_t mResends = 0;
  /// Latencies of the completed requests.
  LatencyHistogram mLatencies;
};

/// Evaluates the records of one load. Times are arrivals in seconds.
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
  /// Requests/s that completed between the two times, whenever they arrived:
  /// in an overload, requests that arrived in the window may complete only
  /// after the load has ended.
  double Goodput() const;
  /// Share of the important requests that completed, among those that arrived
  /// in a half second in which an unimportant request was admitted; 1 if there
  /// are none.
  double ImportantCompleted() const;
  /// Share of all requests of that importance that completed; 1 if none.
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
  std::size_t mCompletedWithin = 0;
};

/// Time from aCauseEnd until the share of completed requests stays at aShare of
/// that in the normal phase, in seconds, by arrival in sliding windows of one
/// second; infinite if that is not reached before aEnd.
double
RecoverySeconds(const std::vector<OperationRecord>& aRecords,
                double aNormalFrom,
                double aNormalTo,
                double aCauseEnd,
                double aEnd,
                double aShare);

} // namespace nutmegrock::experiment
