#pragma once

#include "core/Incarnation.h"
#include "membership/MemberView.h"
#include "node/ServingSide.h"

#include <cpprest/json.h>
#include <cstdint>
#include <memory>
#include <string>

namespace nutmegrock::node {

/// State of a node and its view of the cluster.
struct StatusReport
{
  std::string mService;
  std::string mAvailabilityZone;
  core::Incarnation mIncarnation;
  /// Version of the active profiles; 0 if there are none.
  std::uint64_t mProfileVersion = 0;
  ServingStatus mServing;
  /// Backend servers ejected by this node.
  std::uint32_t mEjected = 0;
  std::shared_ptr<const membership::MemberView> mView;
};

/// Returns the report as JSON for the administration API.
web::json::value
StatusJson(const StatusReport& aReport);

/// Returns "starting", "serving" or "draining".
std::string_view
NameOf(ServerState aState);

} // namespace nutmegrock::node
