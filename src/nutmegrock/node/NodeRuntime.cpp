#include "node/NodeRuntime.h"

#include "node/NodeParts.h"

#include <utility>

namespace nutmegrock::node {

core::Expected<std::unique_ptr<NodeRuntime>>
NodeRuntime::Start(const settings::NodeSettings& aSettings)
{
  auto parts = std::make_unique<Parts>(aSettings);
  const auto opened = parts->Open();
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  return std::unique_ptr<NodeRuntime>(new NodeRuntime(std::move(parts)));
}

NodeRuntime::NodeRuntime(std::unique_ptr<Parts> aParts)
  : mParts(std::move(aParts))
{
}

NodeRuntime::~NodeRuntime() = default;

core::Incarnation
NodeRuntime::Incarnation() const
{
  return mParts->Self();
}

std::size_t
NodeRuntime::Drain()
{
  return mParts->Drain();
}

} // namespace nutmegrock::node
