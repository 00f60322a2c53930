#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace nutmegrock::overload {

/// Divides the calls that a backend server runs concurrently among the nodes
/// whose own backend servers call it. Each may have as many calls in progress
/// as the window says, the highest at which the calls of all together fit; what
/// a node does not use is left to the others. Not synchronized.
class CallerWindows
{
public:
  /// A call from the node began to wait or to run.
  void OnStart(std::uint32_t aNode);
  /// To be called once for each OnStart().
  void OnEnd(std::uint32_t aNode);
  /// Updates the window. aLimit is the number of calls that the server runs
  /// concurrently, of which aDirect are requests of callers and not nested
  /// calls. To be called every 20 ms.
  void Update(std::uint32_t aLimit, std::uint32_t aDirect);
  /// Calls that each node may have in progress; 0 before the first update.
  std::uint32_t Window() const;

private:
  /// The window at which the calls of all nodes take aRoom.
  double Fill(double aRoom);

  /// Calls in progress by node.
  std::map<std::uint32_t, std::uint32_t> mInProgress;
  /// Used by Fill().
  std::vector<std::uint32_t> mSorted;
  double mWindow = 0;
};

} // namespace nutmegrock::overload
