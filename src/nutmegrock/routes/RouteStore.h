#pragma once

#include "core/Error.h"
#include "routes/RouteSet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace nutmegrock::routes {

/// A document with routes as it lies in the store.
struct StoredRoutes
{
  /// Empty when the store holds no routes yet.
  std::string mDocument;
  /// Place in the store's history behind which Wait() goes on.
  std::uint64_t mCursor = 0;

  bool operator==(const StoredRoutes&) const = default;
};

/// Port to where operators publish routes. Calls block; they are made from a
/// thread of their own. Every error is StoreUnavailable, or NotFound when the
/// history behind a cursor is gone.
class RouteStore
{
public:
  RouteStore() = default;
  RouteStore(const RouteStore&) = delete;
  RouteStore& operator=(const RouteStore&) = delete;
  virtual ~RouteStore() = default;

  virtual core::Expected<StoredRoutes> Read() = 0;
  /// The newest document when it changed behind the cursor, else a document
  /// that is empty, after at most aWait.
  virtual core::Expected<StoredRoutes> Wait(
    std::uint64_t aCursor,
    std::chrono::milliseconds aWait) = 0;
};

/// Reads a document. Fails with InvalidProfiles.
using RouteDecoder =
  std::function<core::Expected<RouteSetSource>(const std::string&)>;

} // namespace nutmegrock::routes
