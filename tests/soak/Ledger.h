#pragma once

#include "tests/soak/Timeline.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::tests {

enum class Kind
{
  Safe,
  Unsafe,
  Upload,
  /// Safe, and its backend server makes a call.
  Nested
};

enum class Group
{
  NewConnections,
  KeptConnections,
  Pipelined,
  /// Leave before the answer; only for TWICE and REFUSED.
  Leavers
};

/// How a request ended for its client.
enum class Outcome
{
  Served,
  /// 503, 429, 408 or 421: promised not to run.
  Refused,
  /// Another status.
  Failed,
  /// Not even part of an answer until half a second after the time limit.
  Unanswered,
  /// The connection ended without a whole answer.
  Cut,
  /// Not connected, or left on purpose.
  NotSent,
  /// An answer of another request, or one that is not whole.
  Foreign
};

struct Request
{
  std::string mId;
  std::size_t mNode = 0;
  Kind mKind = Kind::Safe;
  Group mGroup = Group::NewConnections;
  double mSentAt = 0;
  double mEndedAt = 0;
  Outcome mOutcome = Outcome::NotSent;
  int mStatus = 0;
  /// The request before it on its connection, and how that ended.
  std::string mBefore;
};

/// A request on a route that comes and goes.
struct Probe
{
  std::size_t mNode = 0;
  std::string mPath;
  double mSentAt = 0;
  double mEndedAt = 0;
  int mStatus = 0;
  /// Service that has answered, if any.
  std::string mService;
};

/// A document that the store has acknowledged: the services of each path.
struct Document
{
  int mVersion = 0;
  double mSentAt = 0;
  double mAcknowledgedAt = 0;
  std::map<std::string, std::vector<std::string>> mRoutes;

  /// Returns true if the probe shows what this document says; nullopt if it
  /// shows nothing.
  std::optional<bool> Allows(const Probe& aProbe) const;
};

struct PlannedStop
{
  std::size_t mNode = 0;
  double mSignalledAt = 0;
  double mEndedAt = 0;
};

struct Violation
{
  std::string mRule;
  double mAt = 0;
  std::size_t mNode = 0;
  std::string mText;
};

/// What clients, backend servers and the operator have seen in one run, and
/// the rules that it breaks. Times are in seconds. Safe for use by several
/// threads.
class Ledger
{
public:
  /// The services of the nodes take turns.
  Ledger(std::size_t aNodes, std::size_t aServices);

  void Add(const Request& aRequest);
  void Add(const Probe& aProbe);
  void Add(const Document& aDocument);
  void Add(const Violation& aViolation);
  void AddRun(const std::string& aId, double aAt);

  Timeline& OfNode(std::size_t aNode) { return mNodes[aNode]; }
  Timeline& OfStore() { return mStore; }
  /// Of the backend server beside a node.
  Timeline& OfServer(std::size_t aNode) { return mServers[aNode]; }
  void Add(const PlannedStop& aStop);

  /// Broken rules, once the run is over.
  std::vector<Violation> Check();
  /// Figures of the run, in one line.
  std::string Summary() const;

private:
  /// Versions that a probe may have seen.
  struct Match
  {
    /// False if the probe shows nothing.
    bool mShows = false;
    int mOldest = 0;
    int mNewest = 0;
    /// The newest that has to be in force.
    int mDue = 0;
  };

  Match MatchOf(const Probe& aProbe, int aSeen) const;
  bool IsInTouch(std::size_t aNode, double aFrom, double aTo) const;
  /// Returns true if each service has an instance that is not disturbed.
  bool HasInstances(double aFrom, double aTo) const;
  bool IsAnyDisturbed(double aFrom, double aTo, std::size_t aBut) const;
  void CheckRuns();
  void CheckAnswers();
  void CheckStops();
  void CheckDocuments();
  void CheckDocuments(std::size_t aNode, const std::vector<Probe>& aProbes);
  void CheckShares(double aFrom, double aTo);
  void CheckShare(const std::string& aWhat,
                  const std::vector<const Request*>& aPart,
                  double aAllShare);
  void Report(const std::string& aRule,
              const Request& aRequest,
              const std::string& aText);

  mutable std::mutex mMutex;
  std::vector<Timeline> mNodes;
  Timeline mStore;
  std::vector<Timeline> mServers;
  const std::size_t mServices;
  std::map<std::string, std::vector<double>> mRuns;
  std::vector<Request> mRequests;
  std::vector<Probe> mProbes;
  std::vector<Document> mDocuments;
  std::vector<Violation> mViolations;
  std::vector<PlannedStop> mStops;
  std::size_t mDocumentChecks = 0;
  std::size_t mWindows = 0;
};

} // namespace nutmegrock::tests
