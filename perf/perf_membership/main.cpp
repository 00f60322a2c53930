// Measures the cost of the membership with in-memory nodes that exchange
// messages directly: bytes per node and second, CPU per tick and message,
// memory per member, and the time until a change is known to all nodes.
//
// Usage: perf_membership [SIZE...]; the default sizes are 25, 50, 100, 200 and
// 400. 3800 takes about 8 GB, since every node holds every record.

#include "tests/membership/Mesh.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <optional>
#include <string_view>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

/// Figures of one mesh size.
struct Figures
{
  std::size_t mNodes = 0;
  double mQuietBytes = 0;
  double mChurnBytes = 0;
  double mPullBytes = 0;
  double mMessages = 0;
  double mCpuShare = 0;
  double mMemberBytes = 0;
  double mSpreadSeconds = 0;
  double mDetectionSeconds = 0;
  double mBurstBytes = 0;
  double mBurstSeconds = 0;
};

double
CpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Maximum number of nodes for which bursts are measured; a run with 3,800
/// nodes takes more than 16 minutes.
constexpr std::size_t kMaxBurstNodes = 400;

/// Sums over all nodes, for the per-node figures.
struct Totals
{
  double mBytes = 0;
  double mPullBytes = 0;
  double mDatagrams = 0;
};

Totals
TotalsOf(Mesh& aMesh)
{
  Totals totals;
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    const auto& node = aMesh.At(i);
    totals.mBytes += static_cast<double>(node.mBytes);
    totals.mPullBytes += static_cast<double>(node.mControlBytes);
    totals.mDatagrams += static_cast<double>(node.mDatagrams);
  }
  return totals;
}

/// Loads the members into a node as an initial table exchange, which is not
/// propagated by gossip.
void
LoadMembers(Mesh& aMesh, std::size_t aIndex, const std::string& aPage)
{
  Membership& node = aMesh.Of(aIndex);
  Message ack;
  ack.mKind = MessageKind::Ack;
  ack.mSender = { 1 };
  const auto actions = node.Handle(aMesh.Now(), Mesh::AddressOf(9000), ack);
  for (const ControlRequest& request : actions.mRequests) {
    node.HandleResponse(aMesh.Now(), request.mId, aPage);
  }
}

/// Creates a mesh whose nodes know each other.
std::unique_ptr<Mesh>
MakeMesh(std::size_t aNodes)
{
  auto mesh = std::make_unique<Mesh>(aNodes);
  TablePage page;
  for (std::size_t i = 0; i < aNodes; ++i) {
    mesh->Add(i);
    page.mChanges.push_back({ mesh->Of(i).Own(), Liveness::Alive, 0, {}, {} });
  }
  const std::string bytes = Encode(page);
  for (std::size_t i = 0; i < aNodes; ++i) {
    LoadMembers(*mesh, i, bytes);
  }
  return mesh;
}

/// Memory in bytes of one table entry with its own record, as received from
/// other nodes.
double
MemberBytes(std::size_t aNodes)
{
  Mesh mesh(1);
  mesh.Add(0);
  TablePage page;
  for (std::size_t i = 1; i <= aNodes; ++i) {
    Member member = *mesh.Of(0).Own();
    member.mIncarnation = { 0x9e3779b97f4a7c15ULL * i };
    member.mAddress = Mesh::AddressOf(i);
    page.mChanges.push_back(
      { std::make_shared<const Member>(member), Liveness::Alive, 0, {}, {} });
  }
  const std::string bytes = Encode(page);
  const auto before = mallinfo2().uordblks;
  LoadMembers(mesh, 0, bytes);
  const auto after = mallinfo2().uordblks;
  return static_cast<double>(after - before) / static_cast<double>(aNodes);
}

/// Seconds until a changed record of one node is in all tables.
double
SpreadSeconds(Mesh& aMesh)
{
  const std::size_t changed = aMesh.Size() / 2;
  const Member& own = *aMesh.Of(changed).Own();
  aMesh.Perform(
    changed,
    aMesh.Of(changed).SetOwnState(
      aMesh.Now(),
      { MemberState::Draining, own.mSlots, own.mConnections, own.mJoinedMs }));
  const auto id = aMesh.IdOf(changed);
  const auto version = aMesh.Of(changed).Own()->mVersion;
  const auto start = aMesh.Now();
  const auto known = [&] {
    for (std::size_t i = 0; i < aMesh.Size(); ++i) {
      const auto* entry = aMesh.Of(i).Table().Find(id);
      if (entry == nullptr || entry->mMember->mVersion != version) {
        return false;
      }
    }
    return true;
  };
  while (!known() && aMesh.Now() - start < 120s) {
    aMesh.Advance(100ms);
  }
  return std::chrono::duration<double>(aMesh.Now() - start).count();
}

/// Mean seconds, over kKilledNodes nodes, until all others have removed a
/// killed node.
double
DetectionSeconds(Mesh& aMesh)
{
  constexpr std::size_t kKilledNodes = 5;
  double sum = 0;
  for (std::size_t killed = 1; killed <= kKilledNodes; ++killed) {
    aMesh.Kill(killed);
    const auto start = aMesh.Now();
    const auto id = aMesh.IdOf(killed);
    const auto found = [&] {
      for (std::size_t i = 0; i < aMesh.Size(); ++i) {
        const auto* entry = aMesh.Of(i).Table().Find(id);
        if (aMesh.At(i).mRunning && entry != nullptr && entry->IsPresent()) {
          return false;
        }
      }
      return true;
    };
    while (!found() && aMesh.Now() - start < 120s) {
      aMesh.Advance(100ms);
    }
    sum += std::chrono::duration<double>(aMesh.Now() - start).count();
  }
  return sum / static_cast<double>(kKilledNodes);
}

/// Measures bytes per node and second in the busiest 10 s, and the seconds
/// until all tables are equal, after all nodes changed their records at once.
void
MeasureBurst(Mesh& aMesh, Figures& aFigures)
{
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    const Member& own = *aMesh.Of(i).Own();
    aMesh.Perform(i,
                  aMesh.Of(i).SetOwnState(aMesh.Now(),
                                          { MemberState::Serving,
                                            own.mSlots + 7,
                                            own.mConnections,
                                            own.mJoinedMs }));
  }
  const auto start = aMesh.Now();
  const auto equal = [&] {
    const auto& digests = aMesh.Of(0).Table().BucketDigests();
    for (std::size_t i = 1; i < aMesh.Size(); ++i) {
      if (aMesh.Of(i).Table().BucketDigests() != digests) {
        return false;
      }
    }
    return true;
  };
  while (!equal() && aMesh.Now() - start < 1800s) {
    const Totals before = TotalsOf(aMesh);
    aMesh.Advance(10s);
    const Totals after = TotalsOf(aMesh);
    const double bytes =
      after.mBytes - before.mBytes + after.mPullBytes - before.mPullBytes;
    aFigures.mBurstBytes = std::max(
      aFigures.mBurstBytes, 2 * bytes / 10 / static_cast<double>(aMesh.Size()));
  }
  aFigures.mBurstSeconds =
    std::chrono::duration<double>(aMesh.Now() - start).count();
}

Figures
Measure(std::size_t aNodes)
{
  constexpr double kQuietSeconds = 120;
  Figures figures;
  figures.mNodes = aNodes;
  figures.mMemberBytes = MemberBytes(aNodes);
  const auto mesh = MakeMesh(aNodes);
  // Initially every node spreads its own record.
  while (!mesh->IsQuiet()) {
    mesh->Advance(10s);
  }
  const auto nodes = static_cast<double>(aNodes);
  const Totals before = TotalsOf(*mesh);
  const double cpu = CpuSeconds();
  mesh->Advance(std::chrono::seconds(static_cast<int>(kQuietSeconds)));
  figures.mCpuShare = (CpuSeconds() - cpu) / kQuietSeconds / nodes;
  const Totals after = TotalsOf(*mesh);
  // The factor 2 counts each byte at its sender and at its receiver.
  figures.mQuietBytes =
    2 * (after.mBytes - before.mBytes) / kQuietSeconds / nodes;
  figures.mPullBytes =
    2 * (after.mPullBytes - before.mPullBytes) / kQuietSeconds / nodes;
  figures.mMessages =
    2 * (after.mDatagrams - before.mDatagrams) / kQuietSeconds / nodes;
  figures.mSpreadSeconds = SpreadSeconds(*mesh);
  mesh->Advance(30s);
  // One change per second is 360 times the typical 240 per day.
  const Totals before_churn = TotalsOf(*mesh);
  constexpr int kChanges = 60;
  for (int i = 0; i < kChanges; ++i) {
    const std::size_t changed = static_cast<std::size_t>(i) % aNodes;
    const Member& own = *mesh->Of(changed).Own();
    mesh->Perform(changed,
                  mesh->Of(changed).SetOwnState(mesh->Now(),
                                                { MemberState::Serving,
                                                  own.mSlots + 1,
                                                  own.mConnections,
                                                  own.mJoinedMs }));
    mesh->Advance(1s);
  }
  figures.mChurnBytes =
    2 * (TotalsOf(*mesh).mBytes - before_churn.mBytes) / kChanges / nodes;
  mesh->Advance(30s);
  if (aNodes <= kMaxBurstNodes) {
    MeasureBurst(*mesh, figures);
  }
  while (!mesh->IsQuiet()) {
    mesh->Advance(10s);
  }
  figures.mDetectionSeconds = DetectionSeconds(*mesh);
  return figures;
}

/// Exponent of the growth of a figure with the number of nodes.
double
Slope(const Figures& aSmall, const Figures& aLarge, double Figures::*aFigure)
{
  return std::log(aLarge.*aFigure / aSmall.*aFigure) /
         std::log(static_cast<double>(aLarge.mNodes) /
                  static_cast<double>(aSmall.mNodes));
}

void
PrintSlopes(const Figures& aSmall, const Figures& aLarge)
{
  struct Row
  {
    const char* mName;
    double Figures::*mFigure;
  };
  std::printf("\ngrowth from %zu to %zu nodes as an exponent of the size\n",
              aSmall.mNodes,
              aLarge.mNodes);
  for (const Row& row :
       { Row{ "quiet bytes/s", &Figures::mQuietBytes },
         Row{ "bytes/s at one change/s", &Figures::mChurnBytes },
         Row{ "table comparison bytes/s", &Figures::mPullBytes },
         Row{ "CPU", &Figures::mCpuShare },
         Row{ "bytes per member", &Figures::mMemberBytes },
         Row{ "spreading", &Figures::mSpreadSeconds },
         Row{ "detection", &Figures::mDetectionSeconds },
         Row{ "bytes/s in a burst", &Figures::mBurstBytes },
         Row{ "time of a burst", &Figures::mBurstSeconds } }) {
    if (aLarge.*row.mFigure <= 0) {
      continue;
    }
    std::printf(
      "  %-26s %6.2f\n", row.mName, Slope(aSmall, aLarge, row.mFigure));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::size_t> sizes;
  for (int i = 1; i < aCount; ++i) {
    sizes.push_back(std::strtoul(aArguments[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = { 25, 50, 100, 200, 400 };
  }
  std::printf("per node, sent and received; CPU includes the loop that carries "
              "the messages\n");
  std::printf("%6s %9s %9s %9s %8s %9s %9s %8s %8s %9s %8s\n",
              "nodes",
              "B/s",
              "B/s@1/s",
              "pull B/s",
              "msg/s",
              "CPU %core",
              "B/member",
              "spread s",
              "detect s",
              "burst B/s",
              "burst s");
  std::optional<Figures> first;
  std::optional<Figures> last;
  for (const std::size_t size : sizes) {
    const Figures figures = Measure(size);
    std::printf(
      "%6zu %9.0f %9.0f %9.1f %8.2f %9.4f %9.0f %8.1f %8.1f %9.0f %8.0f\n",
      figures.mNodes,
      figures.mQuietBytes,
      figures.mChurnBytes,
      figures.mPullBytes,
      figures.mMessages,
      figures.mCpuShare * 100,
      figures.mMemberBytes,
      figures.mSpreadSeconds,
      figures.mDetectionSeconds,
      figures.mBurstBytes,
      figures.mBurstSeconds);
    std::fflush(stdout);
    first = first ? first : figures;
    last = figures;
  }
  if (sizes.size() > 1) {
    PrintSlopes(*first, *last);
  }
  return 0;
}
