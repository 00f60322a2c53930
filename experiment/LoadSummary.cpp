#include "experiment/LoadSummary.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nutmegrock::experiment {

namespace {

constexpr double kBinSeconds = 0.5;
constexpr double kWindowSeconds = 1.0;
constexpr double kWindowStep = 0.25;

bool
ArrivedWithin(const OperationRecord& aRecord, double aFrom, double aTo)
{
  return aRecord.mArrival >= aFrom && aRecord.mArrival < aTo;
}

double
Ratio(std::size_t aPart, std::size_t aWhole)
{
  return aWhole == 0 ? 1.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

/// Completed share of the requests that arrived within a window.
double
CompletedShareWithin(const std::vector<OperationRecord>& aRecords,
                     double aFrom,
                     double aTo)
{
  std::size_t offered = 0;
  std::size_t completed = 0;
  for (const OperationRecord& record : aRecords) {
    if (ArrivedWithin(record, aFrom, aTo)) {
      ++offered;
      completed += record.mOutcome == OutcomeKind::Completed ? 1 : 0;
    }
  }
  return Ratio(completed, offered);
}

} // namespace

LoadSummary::LoadSummary(const std::vector<RequestKind>& aKinds,
                         const std::vector<OperationRecord>& aRecords,
                         double aFrom,
                         double aTo)
  : mFrom(aFrom)
  , mTo(aTo)
  , mBins(static_cast<std::size_t>(std::ceil((aTo - aFrom) / kBinSeconds)) + 1)
{
  for (const RequestKind& kind : aKinds) {
    KindSummary summary;
    summary.mName = kind.mName;
    summary.mImportant = kind.mImportant;
    mKinds.push_back(std::move(summary));
  }
  for (const OperationRecord& record : aRecords) {
    const double end = record.mArrival + record.mLatency;
    if (record.mOutcome == OutcomeKind::Completed && end >= aFrom &&
        end < aTo) {
      ++mCompletedInWindow;
    }
    if (!ArrivedWithin(record, aFrom, aTo)) {
      continue;
    }
    KindSummary& kind = mKinds.at(record.mKind);
    const auto index =
      static_cast<std::size_t>((record.mArrival - aFrom) / kBinSeconds);
    Bin& bin = mBins.at(index);
    const bool completed = record.mOutcome == OutcomeKind::Completed;
    ++kind.mOffered;
    kind.mResends += record.mSends > 1 ? record.mSends - 1 : 0;
    if (completed) {
      ++kind.mCompleted;
      kind.mLatencies.Add(std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(record.mLatency)));
    } else {
      ++kind.mReasons[record.mReason];
      kind.mMismatched += record.mOutcome == OutcomeKind::Mismatched ? 1 : 0;
    }
    if (kind.mImportant) {
      ++bin.mImportant;
      bin.mImportantCompleted += completed ? 1 : 0;
    } else {
      bin.mOthersCompleted += completed ? 1 : 0;
    }
  }
}

std::size_t
LoadSummary::Offered() const
{
  std::size_t sum = 0;
  for (const KindSummary& kind : mKinds) {
    sum += kind.mOffered;
  }
  return sum;
}

std::size_t
LoadSummary::Completed() const
{
  std::size_t sum = 0;
  for (const KindSummary& kind : mKinds) {
    sum += kind.mCompleted;
  }
  return sum;
}

std::size_t
LoadSummary::Mismatched() const
{
  std::size_t sum = 0;
  for (const KindSummary& kind : mKinds) {
    sum += kind.mMismatched;
  }
  return sum;
}

double
LoadSummary::Goodput() const
{
  return static_cast<double>(mCompletedInWindow) / (mTo - mFrom);
}

double
LoadSummary::ImportantCompleted() const
{
  std::size_t offered = 0;
  std::size_t completed = 0;
  for (const Bin& bin : mBins) {
    if (bin.mOthersCompleted > 0) {
      offered += bin.mImportant;
      completed += bin.mImportantCompleted;
    }
  }
  return Ratio(completed, offered);
}

double
LoadSummary::CompletedShare(bool aImportant) const
{
  std::size_t offered = 0;
  std::size_t completed = 0;
  for (const KindSummary& kind : mKinds) {
    if (kind.mImportant == aImportant) {
      offered += kind.mOffered;
      completed += kind.mCompleted;
    }
  }
  return Ratio(completed, offered);
}

double
RecoverySeconds(const std::vector<OperationRecord>& aRecords,
                double aNormalFrom,
                double aNormalTo,
                double aCauseEnd,
                double aEnd,
                double aShare)
{
  const double required_share =
    aShare * CompletedShareWithin(aRecords, aNormalFrom, aNormalTo);
  double recovered = aCauseEnd;
  for (double from = aCauseEnd; from + kWindowSeconds <= aEnd;
       from += kWindowStep) {
    if (CompletedShareWithin(aRecords, from, from + kWindowSeconds) <
        required_share) {
      recovered = from + kWindowStep;
    }
  }
  return recovered + kWindowSeconds > aEnd
           ? std::numeric_limits<double>::infinity()
           : recovered - aCauseEnd;
}

} // namespace nutmegrock::experiment
