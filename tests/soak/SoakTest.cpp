// Nodes as real processes on loopback addresses, with the store, backend
// servers and clients of this process, while disturbances that are drawn from a
// seed overlap. What clients, servers and the operator see is checked against
// the rules. Environment variables for runs by hand:
//   SOAK_SEEDS=1..50     seeds, one run each
//   SOAK_SECONDS=30      length of a run
//   SOAK_NODES=6         number of nodes
//   SOAK_FAULTS=kill,hup only these disturbances; with a leading "-" all others
//   SOAK_PROGRAM=PATH    another build of the program
#include "tests/soak/Soak.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace nutmegrock;
using nutmegrock::tests::Soak;
using nutmegrock::tests::SoakSettings;

namespace {

std::string
Variable(const char* aName, const std::string& aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : text;
}

std::vector<std::string>
ChosenFaults()
{
  std::string text = Variable("SOAK_FAULTS", "");
  const bool without = !text.empty() && text.front() == '-';
  std::istringstream names(without ? text.substr(1) : text);
  std::vector<std::string> chosen;
  for (std::string name; std::getline(names, name, ',');) {
    chosen.push_back(name);
  }
  if (!without) {
    return chosen;
  }
  std::vector<std::string> all = Soak::Faults();
  all.erase(std::remove_if(all.begin(),
                           all.end(),
                           [&chosen](const std::string& aName) {
                             return std::find(chosen.begin(),
                                              chosen.end(),
                                              aName) != chosen.end();
                           }),
            all.end());
  return all;
}

void
Print(const Soak& aSoak, const std::vector<tests::Violation>& aViolations)
{
  constexpr int kPerRule = 5;
  std::map<std::string, int> printed;
  std::set<std::size_t> nodes;
  for (const tests::Violation& violation : aViolations) {
    if (++printed[violation.mRule] <= kPerRule) {
      std::cout << "  " << violation.mRule << " at " << violation.mAt
                << " node " << violation.mNode << ": " << violation.mText
                << "\n";
      nodes.insert(violation.mNode);
    }
  }
  for (const std::size_t node : nodes) {
    std::cout << "  end of the log of node " << node << " (" << aSoak.Folder()
              << "/node-" << node + 1 << ".log):\n"
              << aSoak.LogTail(node) << "\n";
  }
}

} // namespace

// Guards against processes that end by themselves, configs that are not in
// force, and callers that get no service, in real processes.
TEST_CASE("nodes keep the rules under disturbances")
{
  const std::string seeds = Variable("SOAK_SEEDS", "1..3");
  const std::size_t dots = seeds.find("..");
  const std::uint64_t first = std::stoull(seeds);
  const std::uint64_t last =
    dots == std::string::npos ? first : std::stoull(seeds.substr(dots + 2));
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    SoakSettings settings;
    settings.mSeed = seed;
    settings.mSeconds = std::stod(Variable("SOAK_SECONDS", "20"));
    settings.mNodes = std::stoull(Variable("SOAK_NODES", "5"));
    settings.mFaults = ChosenFaults();
    Soak soak(settings);
    const std::vector<tests::Violation> violations = soak.Run();
    std::cout << "soak: " << soak.Summary() << std::endl;
    Print(soak, violations);
    CAPTURE(seed);
    CHECK(violations.empty());
  }
}
