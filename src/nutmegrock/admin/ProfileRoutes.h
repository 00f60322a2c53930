#pragma once

#include "admin/AdminServer.h"
#include "profiles/ActiveProfiles.h"
#include "profiles/ProfileRecord.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <functional>
#include <vector>

namespace nutmegrock::admin {

/// Routes of the administration API for profiles:
///
/// - GET /profiles: the set in force on this node, ETag its version
/// - GET /profiles/current: the current set of the store
/// - GET /profiles/versions?limit=N&before=V: history, latest first
/// - GET /profiles/versions/{version}: one version
/// - GET /profiles/diff?from=A&to=B: differences between two versions
/// - POST /profiles/check: lists the faults of the document in the body
/// - POST /profiles/diff?from=A: differences between a version and the document
///   in the body
/// - PUT /profiles?author=A&publication=P with If-Match: "V": publishes the
///   document in the body as version V + 1
class ProfileRoutes
{
public:
  struct Settings
  {
    store::TableService& mTable;
    store::ObjectStore& mObjects;
    const profiles::ActiveProfiles& mActiveProfiles;
    /// Called with each accepted publication, before the response is sent.
    std::function<void(const profiles::PublishedSet&)> mOnPublished;
    /// Waits between attempts of a store call; see ProfilePublisher. By default
    /// 200 ms times the number of the attempt.
    std::function<void(unsigned)> mPause;
  };

  /// Makes the routes. The objects that aSettings refers to must outlive the
  /// server.
  static std::vector<AdminRoute> Make(Settings aSettings);
};

} // namespace nutmegrock::admin
