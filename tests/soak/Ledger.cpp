#include "tests/soak/Ledger.h"

#include <algorithm>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::tests {

namespace {

// Bounds of the rules, in seconds.
constexpr double kContact = 3;
constexpr double kConfigApply = 2;
// Eight times the usual bound: the machine of the test is shared.
constexpr double kBack = 8 * 0.25;
// Windows in which shares are compared, and requests that a part needs.
constexpr double kWindow = 4;
constexpr std::size_t kLeastRequests = 12;

constexpr const char* kKinds[] = { "safe", "unsafe", "upload", "nested" };
constexpr const char* kGroups[] = { "new", "kept", "pipelined", "leaver" };
constexpr const char* kOutcomes[] = { "served",     "refused", "failed",
                                      "unanswered", "cut",     "not_sent",
                                      "foreign" };

std::string
Text(const Request& aRequest)
{
  return fmt::format("{} {} {} sent {:.3f} ended {:.3f} {} status {}{}",
                     aRequest.mId,
                     kKinds[static_cast<int>(aRequest.mKind)],
                     kGroups[static_cast<int>(aRequest.mGroup)],
                     aRequest.mSentAt,
                     aRequest.mEndedAt,
                     kOutcomes[static_cast<int>(aRequest.mOutcome)],
                     aRequest.mStatus,
                     aRequest.mBefore);
}

bool
IsJudged(const Request& aRequest)
{
  return aRequest.mGroup != Group::Leavers;
}

double
ServedShare(const std::vector<const Request*>& aRequests)
{
  const auto served = std::count_if(
    aRequests.begin(), aRequests.end(), [](const Request* aRequest) {
      return aRequest->mOutcome == Outcome::Served;
    });
  return aRequests.empty() ? 0
                           : static_cast<double>(served) /
                               static_cast<double>(aRequests.size());
}

} // namespace

std::optional<bool>
Document::Allows(const Probe& aProbe) const
{
  const auto route = mRoutes.find(aProbe.mPath);
  if (aProbe.mStatus == 404) {
    return route == mRoutes.end();
  }
  if (aProbe.mStatus != 200 || aProbe.mService.empty()) {
    return std::nullopt;
  }
  return route != mRoutes.end() &&
         std::find(route->second.begin(),
                   route->second.end(),
                   aProbe.mService) != route->second.end();
}

Ledger::Ledger(std::size_t aNodes, std::size_t aServices)
  : mNodes(aNodes)
  , mServers(aNodes)
  , mServices(aServices)
{
}

void
Ledger::Add(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  mRequests.push_back(aRequest);
}

void
Ledger::Add(const Probe& aProbe)
{
  const std::lock_guard lock(mMutex);
  mProbes.push_back(aProbe);
}

void
Ledger::Add(const Document& aDocument)
{
  const std::lock_guard lock(mMutex);
  mDocuments.push_back(aDocument);
}

void
Ledger::Add(const Violation& aViolation)
{
  const std::lock_guard lock(mMutex);
  mViolations.push_back(aViolation);
}

void
Ledger::AddRun(const std::string& aId, double aAt)
{
  const std::lock_guard lock(mMutex);
  mRuns[aId].push_back(aAt);
}

void
Ledger::Add(const PlannedStop& aStop)
{
  const std::lock_guard lock(mMutex);
  mStops.push_back(aStop);
}

bool
Ledger::IsInTouch(std::size_t aNode, double aFrom, double aTo) const
{
  return !mNodes[aNode].IsDisturbed(aFrom - kContact, aTo) &&
         !mStore.IsDisturbed(aFrom - kContact, aTo);
}

bool
Ledger::HasInstances(double aFrom, double aTo) const
{
  std::set<std::size_t> services;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!mNodes[i].IsDisturbed(aFrom - kContact, aTo) &&
        !mServers[i].IsDisturbed(aFrom - kContact, aTo)) {
      services.insert(i % mServices);
    }
  }
  return services.size() == mServices;
}

bool
Ledger::IsAnyDisturbed(double aFrom, double aTo, std::size_t aBut) const
{
  bool is_disturbed = mStore.IsDisturbed(aFrom, aTo);
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    is_disturbed = is_disturbed || mServers[i].IsDisturbed(aFrom, aTo) ||
                   (i != aBut && mNodes[i].IsDisturbed(aFrom, aTo));
  }
  return is_disturbed;
}

void
Ledger::Report(const std::string& aRule,
               const Request& aRequest,
               const std::string& aText)
{
  mViolations.push_back({ aRule,
                          aRequest.mEndedAt,
                          aRequest.mNode,
                          aText + ": " + Text(aRequest) });
}

std::vector<Violation>
Ledger::Check()
{
  const std::lock_guard lock(mMutex);
  CheckRuns();
  CheckAnswers();
  CheckStops();
  CheckDocuments();
  double end = 0;
  for (const Request& request : mRequests) {
    end = std::max(end, request.mEndedAt);
  }
  for (double from = 0; from + kWindow <= end; from += kWindow / 2) {
    CheckShares(from, from + kWindow);
  }
  return mViolations;
}

void
Ledger::CheckRuns()
{
  for (const Request& request : mRequests) {
    const auto runs = mRuns.find(request.mId);
    if (request.mKind == Kind::Safe || request.mKind == Kind::Nested ||
        runs == mRuns.end()) {
      continue;
    }
    if (runs->second.size() > 1) {
      Report(
        "TWICE", request, fmt::format("ran {} times", runs->second.size()));
    }
    if (request.mOutcome == Outcome::Refused) {
      Report(
        "REFUSED", request, fmt::format("ran at {:.3f}", runs->second.front()));
    }
  }
}

void
Ledger::CheckAnswers()
{
  for (const Request& request : mRequests) {
    if (request.mOutcome == Outcome::Foreign) {
      Report("MIXED", request, "foreign or damaged answer");
    }
    if (request.mOutcome == Outcome::Unanswered && IsJudged(request) &&
        IsInTouch(request.mNode, request.mSentAt, request.mEndedAt)) {
      Report("STARVED", request, "no answer half a second after its limit");
    }
  }
}

void
Ledger::CheckStops()
{
  // From the end of a process to its notice.
  constexpr double kNotice = 0.1;
  for (const PlannedStop& stop : mStops) {
    for (const Request& request : mRequests) {
      if (request.mOutcome != Outcome::Cut || !IsJudged(request) ||
          request.mNode != stop.mNode || request.mEndedAt < stop.mSignalledAt ||
          request.mEndedAt > stop.mEndedAt + kNotice ||
          mRuns.find(request.mId) == mRuns.end()) {
        continue;
      }
      // Only the stop itself may disturb: its span begins at the signal.
      const double from = request.mSentAt - kContact;
      if (!IsAnyDisturbed(from, request.mEndedAt, stop.mNode) &&
          !mNodes[stop.mNode].IsDisturbed(from, stop.mSignalledAt - 0.001)) {
        Report("LOST",
               request,
               fmt::format("cut by the stop from {:.3f} to {:.3f}",
                           stop.mSignalledAt,
                           stop.mEndedAt));
      }
    }
  }
}

void
Ledger::CheckDocuments()
{
  std::sort(mDocuments.begin(),
            mDocuments.end(),
            [](const Document& aLeft, const Document& aRight) {
              return aLeft.mVersion < aRight.mVersion;
            });
  std::vector<std::vector<Probe>> probes(mNodes.size());
  for (const Probe& probe : mProbes) {
    probes[probe.mNode].push_back(probe);
  }
  for (std::size_t i = 0; i < probes.size(); ++i) {
    std::sort(probes[i].begin(),
              probes[i].end(),
              [](const Probe& aLeft, const Probe& aRight) {
                return aLeft.mSentAt < aRight.mSentAt;
              });
    CheckDocuments(i, probes[i]);
  }
}

Ledger::Match
Ledger::MatchOf(const Probe& aProbe, int aSeen) const
{
  Match match;
  for (const Document& document : mDocuments) {
    if (document.mSentAt > aProbe.mEndedAt) {
      continue;
    }
    if (document.mAcknowledgedAt + kConfigApply < aProbe.mSentAt) {
      match.mDue = document.mVersion;
    }
    const std::optional<bool> allows = document.Allows(aProbe);
    match.mShows = allows.has_value();
    if (allows.value_or(false)) {
      match.mNewest = document.mVersion;
      if (match.mOldest == 0 || match.mOldest < aSeen) {
        match.mOldest = document.mVersion;
      }
    }
  }
  return match;
}

void
Ledger::CheckDocuments(std::size_t aNode, const std::vector<Probe>& aProbes)
{
  // Oldest version that is as new as all that was seen before, and since when.
  int seen = 0;
  double seen_at = 0;
  for (const Probe& probe : aProbes) {
    const bool may_be_new = mNodes[aNode].IsDisturbed(seen_at, probe.mEndedAt);
    const Match match = MatchOf(probe, may_be_new ? 0 : seen);
    if (!match.mShows) {
      continue;
    }
    ++mDocumentChecks;
    const auto report = [&](const std::string& aText) {
      mViolations.push_back(
        { "CONFIG",
          probe.mEndedAt,
          aNode,
          fmt::format("{}: {} sent {:.3f} status {} service {}; versions r{} "
                      "to r{} say so, due r{}",
                      aText,
                      probe.mPath,
                      probe.mSentAt,
                      probe.mStatus,
                      probe.mService,
                      match.mOldest,
                      match.mNewest,
                      match.mDue) });
    };
    if (match.mNewest == 0) {
      report("no version allows");
    } else if (match.mNewest < match.mDue &&
               IsInTouch(aNode, probe.mSentAt, probe.mEndedAt)) {
      report("an old version is in force");
    } else if (!may_be_new && match.mNewest < seen &&
               probe.mSentAt > seen_at + kBack) {
      report(fmt::format("r{} was seen at {:.3f}", seen, seen_at));
    } else if (may_be_new || match.mOldest > seen) {
      seen = match.mOldest;
      seen_at = probe.mEndedAt;
    }
  }
}

void
Ledger::CheckShare(const std::string& aWhat,
                   const std::vector<const Request*>& aPart,
                   double aAllShare)
{
  const double share = ServedShare(aPart);
  if (aPart.size() < kLeastRequests || share >= aAllShare / 4) {
    return;
  }
  std::map<Outcome, int> outcomes;
  for (const Request* request : aPart) {
    ++outcomes[request->mOutcome];
  }
  std::string text;
  for (const auto& [outcome, count] : outcomes) {
    text += fmt::format(" {} {}", kOutcomes[static_cast<int>(outcome)], count);
  }
  Report("STARVED",
         *aPart.back(),
         fmt::format("{} {}: served {:.2f} of {}, all {:.2f},{}; the last",
                     kKinds[static_cast<int>(aPart.back()->mKind)],
                     aWhat,
                     share,
                     aPart.size(),
                     aAllShare,
                     text));
}

void
Ledger::CheckShares(double aFrom, double aTo)
{
  if (!HasInstances(aFrom, aTo)) {
    return;
  }
  ++mWindows;
  std::vector<const Request*> all;
  std::map<std::string, std::vector<const Request*>> parts;
  for (const Request& request : mRequests) {
    if (request.mSentAt < aFrom || request.mEndedAt > aTo ||
        !IsJudged(request) || request.mOutcome == Outcome::NotSent ||
        !IsInTouch(request.mNode, aFrom, aTo)) {
      continue;
    }
    all.push_back(&request);
    parts[fmt::format("node {}", request.mNode)].push_back(&request);
    parts[fmt::format("node {} kind {}",
                      request.mNode,
                      kKinds[static_cast<int>(request.mKind)])]
      .push_back(&request);
    parts[fmt::format("node {} group {}",
                      request.mNode,
                      kGroups[static_cast<int>(request.mGroup)])]
      .push_back(&request);
  }
  const double share = ServedShare(all);
  for (const auto& [what, requests] : parts) {
    CheckShare(what, requests, share);
  }
}

std::string
Ledger::Summary() const
{
  const std::lock_guard lock(mMutex);
  std::map<Outcome, std::size_t> outcomes;
  for (const Request& request : mRequests) {
    ++outcomes[request.mOutcome];
  }
  std::string text = fmt::format("requests={}", mRequests.size());
  for (const auto& [outcome, count] : outcomes) {
    text += fmt::format(" {}={}", kOutcomes[static_cast<int>(outcome)], count);
  }
  std::map<std::string, int> rules{ { "TWICE", 0 },  { "REFUSED", 0 },
                                    { "MIXED", 0 },  { "LOST", 0 },
                                    { "FAULT", 0 },  { "CONFIG", 0 },
                                    { "STARVED", 0 } };
  for (const Violation& violation : mViolations) {
    ++rules[violation.mRule];
  }
  for (const auto& [rule, count] : rules) {
    text += fmt::format(" {}={}", rule, count);
  }
  return text + fmt::format(" config_checks={} windows={} documents={} "
                            "stops={}",
                            mDocumentChecks,
                            mWindows,
                            mDocuments.size(),
                            mStops.size());
}

} // namespace nutmegrock::tests
