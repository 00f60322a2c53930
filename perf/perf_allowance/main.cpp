// Processor time of the decisions about allowances, without sockets.
#include "quota/AllowanceClient.h"
#include "quota/AllowanceOwner.h"
#include "quota/TakeMessage.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::quota;
using std::chrono::milliseconds;

namespace {

constexpr int kRounds = 200'000;

std::string
Name(std::size_t aTenant)
{
  return "tenant-" + std::to_string(aTenant);
}

/// Prints the mean time of a call of the function.
template<class Function>
void
Measure(const std::string& aWhat, Function aFunction)
{
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    aFunction(i);
  }
  const std::chrono::duration<double, std::micro> time =
    std::chrono::steady_clock::now() - start;
  std::printf("%-60s %.3f us\n", aWhat.c_str(), time.count() / kRounds);
}

constexpr core::TimePoint kStart{ std::chrono::hours(1) };
constexpr core::Incarnation kSelf{ 1 };

std::vector<TenantLimit>
Limits(std::size_t aTenants)
{
  std::vector<TenantLimit> limits;
  for (std::size_t i = 0; i < aTenants; ++i) {
    limits.push_back({ Name(i), 1e9, 1e9 });
  }
  return limits;
}

OwnerView
ViewOf(std::size_t aNodes)
{
  OwnerView view;
  view.mCandidates = { { kSelf, 1 } };
  view.mAlive = aNodes;
  return view;
}

void
MeasureOwner(const std::string& aSize, std::size_t aNodes, std::size_t aTenants)
{
  OwnerChoice choice;
  choice.SetView(kStart, ViewOf(aNodes));
  AllowanceOwner owner(kStart, kSelf);
  owner.SetLimits(kStart, Limits(aTenants));
  owner.OnView(kStart, choice, true);
  // Requests of an owner with 1,000 a second, or of all nodes in a second.
  const core::Duration gap =
    std::chrono::microseconds(aNodes > 1'000 ? 250 : 1'000);
  Measure(
    "owner, request for one tenant, with text, " + aSize, [&](int aRound) {
      const auto round = static_cast<std::size_t>(aRound);
      const core::TimePoint now =
        kStart + std::chrono::seconds(2) + gap * aRound;
      const TakeRequest request{ TakeState::Normal,
                                 {},
                                 { { Name(round % 5), 1, 0 } } };
      const auto decoded = DecodeTakeRequest(Encode(request));
      const auto response = owner.Take(now, { 2 + round % aNodes }, *decoded);
      if (!DecodeTakeResponse(Encode(response))) {
        std::printf("invalid response\n");
      }
    });
}

void
MeasureNode(const std::string& aSize, std::size_t aNodes, std::size_t aTenants)
{
  AllowanceClient client(kSelf, 1);
  client.SetLimits(kStart, Limits(aTenants));
  client.OnView(kStart, ViewOf(aNodes), true);
  Measure(
    "node, granted request with its part of the messages, " + aSize,
    [&](int aRound) {
      const core::TimePoint now =
        kStart + std::chrono::milliseconds(30) * aRound;
      client.Take(now,
                  Name(static_cast<std::size_t>(aRound) % aTenants),
                  [](const AllowanceDecision&) {});
      for (const AllowanceAsk& ask : client.NextAsks(now)) {
        client.OnResponse(
          now, ask.mId, { false, { { true, 1, milliseconds(0), 10'000 } } });
      }
    });
  for (const AllowanceAsk& ask : client.NextAsks(kStart)) {
    client.OnFailure(kStart, ask.mId);
  }
  bool refused = false;
  const core::TimePoint end = kStart + milliseconds(30) * kRounds;
  client.Take(end, Name(0), [](const AllowanceDecision&) {});
  for (const AllowanceAsk& ask : client.NextAsks(end)) {
    client.OnResponse(
      end, ask.mId, { false, { { true, 0, milliseconds(1'000), 10'000 } } });
  }
  Measure("node, refused request, " + aSize, [&](int) {
    client.Take(end, Name(0), [&refused](const AllowanceDecision& aDecision) {
      refused = !aDecision.mGranted;
    });
  });
  std::printf("refused %d\n", refused ? 1 : 0);
}

void
Run(std::size_t aNodes, std::size_t aTenants)
{
  const std::string size =
    std::to_string(aNodes) + " nodes, " + std::to_string(aTenants) + " tenants";
  MeasureOwner(size, aNodes, aTenants);
  MeasureNode(size, aNodes, aTenants);
}

} // namespace

int
main()
{
  Run(70, 77);
  Run(3'800, 430);
  return 0;
}
