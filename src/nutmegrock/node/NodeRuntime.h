#pragma once

#include "core/Error.h"
#include "core/Incarnation.h"
#include "settings/NodeSettings.h"

#include <memory>
#include <string>

namespace nutmegrock::node {

/// A running node. Creates and connects its components.
class NodeRuntime
{
public:
  /// Starts all listeners and threads. Fails with InvalidSettings if an address
  /// cannot be bound or the secret file cannot be read.
  static core::Expected<std::unique_ptr<NodeRuntime>> Start(
    const settings::NodeSettings& aSettings);

  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;
  /// Stops immediately and aborts calls in flight.
  ~NodeRuntime();

  core::Incarnation Incarnation() const;
  /// Graceful shutdown: refuses new calls, waits until all calls in flight have
  /// ended, and leaves the membership. Blocks. Returns the number of calls that
  /// had not ended after the drain timeout.
  std::size_t Drain();

private:
  class Components;

  explicit NodeRuntime(std::unique_ptr<Components> aComponents);

  std::unique_ptr<Components> mComponents;
};

} // namespace nutmegrock::node
