#include "tests/soak/Clients.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::tests {

namespace {

using standin::Connection;
using standin::Message;
using standin::Now;
using standin::ReadEnd;
using standin::RequestSettings;
using standin::SleepFor;

constexpr const char* kPaths[] = { "/read/",
                                   "/order/",
                                   "/upload/",
                                   "/nested/" };
constexpr double kPatience = standin::kRouteTimeout + 0.5;

bool
IsPromise(int aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 408 || aStatus == 421;
}

template<class Random>
double
Between(Random& aRandom, double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(aRandom);
}

} // namespace

Clients::Clients(Ledger& aLedger,
                 std::size_t aNode,
                 core::Address aCaller,
                 std::vector<std::string> aPaths,
                 std::function<bool()> aWork,
                 std::uint64_t aSeed)
  : mLedger(aLedger)
  , mNode(aNode)
  , mCaller(std::move(aCaller))
  , mPaths(std::move(aPaths))
  , mWork(std::move(aWork))
  , mSeed(aSeed)
{
  using Run = void (Clients::*)();
  for (const Run run : { &Clients::RunNew,
                         &Clients::RunKept,
                         &Clients::RunPipelined,
                         &Clients::RunLeavers,
                         &Clients::RunProbes }) {
    mThreads.emplace_back([this, run] { (this->*run)(); });
  }
}

Clients::~Clients()
{
  mStopping = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
Clients::Pause(Random& aRandom) const
{
  SleepFor(Between(aRandom, 0.005, 0.04));
}

bool
Clients::WaitForWork() const
{
  while (!mStopping && !mWork()) {
    SleepFor(0.02);
  }
  return !mStopping;
}

RequestSettings
Clients::NewRequest(Request& aRecord, Kind aKind, Group aGroup, Random& aRandom)
{
  constexpr std::size_t kUploadBytes[] = { 2000, 100'000, 300'000 };
  RequestSettings request;
  request.mId = fmt::format("q{}.{}.{}", mSeed, mNode, ++mCount);
  request.mPath = kPaths[static_cast<int>(aKind)];
  if (aKind == Kind::Unsafe) {
    request.mMethod = "POST";
    request.mBody = "order";
  } else if (aKind == Kind::Upload) {
    request.mMethod = "POST";
    request.mBody = std::string(kUploadBytes[aRandom() % 3], 'u');
    request.mInChunks = aRandom() % 2 == 0;
  }
  aRecord = {};
  aRecord.mId = request.mId;
  aRecord.mNode = mNode;
  aRecord.mKind = aKind;
  aRecord.mGroup = aGroup;
  return request;
}

bool
Clients::Connect(std::unique_ptr<Connection>& aConnection)
{
  if (aConnection == nullptr) {
    const int fd = Connection::Open(mCaller);
    if (fd < 0) {
      SleepFor(0.05);
      return false;
    }
    aConnection = std::make_unique<Connection>(fd);
  }
  return true;
}

bool
Clients::ReadAnswer(Connection& aConnection, Request& aRecord)
{
  Message answer;
  const ReadEnd end = aConnection.Read(answer, aRecord.mSentAt + kPatience);
  aRecord.mEndedAt = Now();
  aRecord.mStatus = answer.Status();
  if (end != ReadEnd::Complete) {
    aRecord.mOutcome =
      end == ReadEnd::Timeout ? Outcome::Unanswered : Outcome::Cut;
    return false;
  }
  const std::string echoed = answer.Header("nutmegrock-request-id");
  if (answer.Status() == 200) {
    aRecord.mOutcome = standin::ServiceOf(answer, aRecord.mId).empty()
                         ? Outcome::Foreign
                         : Outcome::Served;
  } else if (!echoed.empty() && echoed != aRecord.mId) {
    aRecord.mOutcome = Outcome::Foreign;
  } else {
    aRecord.mOutcome =
      IsPromise(answer.Status()) ? Outcome::Refused : Outcome::Failed;
  }
  return answer.Header("connection") != "close";
}

bool
Clients::Exchange(Connection& aConnection,
                  const std::vector<RequestSettings>& aRequests,
                  std::vector<Request>& aRecords)
{
  std::string text;
  for (const RequestSettings& request : aRequests) {
    text += RequestText(request);
  }
  const double sent_at = Now();
  // An answer may come before the whole body is taken.
  bool stays = aConnection.Send(text, kPatience);
  bool first = true;
  for (Request& record : aRecords) {
    record.mSentAt = sent_at;
    record.mEndedAt = Now();
    if (stays || first) {
      stays = ReadAnswer(aConnection, record) && stays;
    }
    first = false;
    // Those behind an answer that closes count as not read.
    mLedger.Add(record);
  }
  return stays;
}

void
Clients::RunNew()
{
  Random random(mSeed * 1000 + mNode * 10);
  while (WaitForWork()) {
    std::unique_ptr<Connection> connection;
    if (Connect(connection)) {
      std::vector<Request> records(1);
      const RequestSettings request =
        NewRequest(records[0],
                   static_cast<Kind>(random() % 4),
                   Group::NewConnections,
                   random);
      Exchange(*connection, { request }, records);
    }
    Pause(random);
  }
}

void
Clients::RunKept()
{
  Random random(mSeed * 1000 + mNode * 10 + 1);
  std::vector<std::unique_ptr<Connection>> connections(4);
  std::vector<std::string> before(connections.size());
  while (WaitForWork()) {
    const std::size_t index = random() % connections.size();
    auto& connection = connections[index];
    if (Connect(connection)) {
      std::vector<Request> records(1);
      const RequestSettings request =
        NewRequest(records[0],
                   static_cast<Kind>(random() % 4),
                   Group::KeptConnections,
                   random);
      records[0].mBefore = before[index];
      const bool stays = Exchange(*connection, { request }, records);
      before[index] =
        fmt::format(" after {} {}", request.mId, records[0].mStatus);
      if (!stays) {
        connection.reset();
        before[index].clear();
      }
    }
    Pause(random);
  }
}

void
Clients::RunPipelined()
{
  Random random(mSeed * 1000 + mNode * 10 + 2);
  std::unique_ptr<Connection> connection;
  while (WaitForWork()) {
    if (Connect(connection)) {
      std::vector<Request> records(2 + random() % 4);
      std::vector<RequestSettings> requests;
      requests.reserve(records.size());
      for (Request& record : records) {
        requests.push_back(
          NewRequest(record, Kind::Safe, Group::Pipelined, random));
      }
      if (!Exchange(*connection, requests, records)) {
        connection.reset();
      }
    }
    Pause(random);
  }
}

void
Clients::RunLeavers()
{
  Random random(mSeed * 1000 + mNode * 10 + 3);
  while (WaitForWork()) {
    std::unique_ptr<Connection> connection;
    if (Connect(connection)) {
      Request record;
      const RequestSettings request =
        NewRequest(record,
                   random() % 2 == 0 ? Kind::Unsafe : Kind::Upload,
                   Group::Leavers,
                   random);
      const std::string text = RequestText(request);
      record.mSentAt = Now();
      connection->Send(
        text.substr(0, random() % 2 == 0 ? text.size() : text.size() / 2), 1);
      SleepFor(Between(random, 0, 0.03));
      record.mEndedAt = Now();
      mLedger.Add(record);
    }
    SleepFor(Between(random, 0.02, 0.1));
  }
}

void
Clients::RunProbes()
{
  Random random(mSeed * 1000 + mNode * 10 + 4);
  std::unique_ptr<Connection> connection;
  while (WaitForWork()) {
    if (random() % 2 == 0) {
      connection.reset();
    }
    if (Connect(connection)) {
      RequestSettings request;
      request.mId = fmt::format("p{}.{}.{}", mSeed, mNode, ++mCount);
      request.mPath = mPaths[random() % mPaths.size()];
      Probe probe;
      probe.mNode = mNode;
      probe.mPath = request.mPath;
      probe.mSentAt = Now();
      Message answer;
      const bool complete =
        connection->Send(RequestText(request)) &&
        connection->Read(answer, Now() + kPatience) == ReadEnd::Complete;
      probe.mEndedAt = Now();
      if (complete) {
        probe.mStatus = answer.Status();
        probe.mService = standin::ServiceOf(answer, request.mId);
        mLedger.Add(probe);
      }
      if (!complete || answer.Header("connection") == "close") {
        connection.reset();
      }
    }
    SleepFor(Between(random, 0.02, 0.06));
  }
}

} // namespace nutmegrock::tests
