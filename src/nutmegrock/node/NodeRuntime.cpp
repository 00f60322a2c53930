#include "node/NodeRuntime.h"

#include "node/NodeComponents.h"

#include <utility>

namespace nutmegrock::node {

core::Expected<std::unique_ptr<NodeRuntime>>
NodeRuntime::Start(const settings::NodeSettings& aSettings)
{
  auto parts = std::make_unique<Components>(aSettings);
  const auto opened = parts->Open();
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  return std::unique_ptr<NodeRuntime>(new NodeRuntime(std::move(parts)));
}

NodeRuntime::NodeRuntime(std::unique_ptr<Components> aComponents)
  : mComponents(std::move(aComponents))
{
}

NodeRuntime::~NodeRuntime() = default;

core::Incarnation
NodeRuntime::Incarnation() const
{
  return mComponents->Self();
}

std::size_t
NodeRuntime::Drain()
{
  return mComponents->Drain();
}

} // namespace nutmegrock::node
