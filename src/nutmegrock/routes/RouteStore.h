#pragma once

#include "core/Error.h"
#include "routes/RouteSet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace nutmegrock::routes {

/// A route document as read from the store.
struct StoredRoutes
{
  /// Empty when the store holds no routes yet.
  std::string mDocument;
  /// Position in the store's history from which WaitForChange() continues.
  std::uint64_t mCursor = 0;
  /// Steady clock of the store at its response, in milliseconds.
  std::int64_t mStoreMs = 0;

  bool operator==(const StoredRoutes&) const = default;
};

/// Port to the store where operators publish routes. Calls block and are made
/// on dedicated threads. Every error is StoreUnavailable, or NotFound when the
/// history after a cursor is no longer available.
class RouteStore
{
public:
  RouteStore() = default;
  RouteStore(const RouteStore&) = delete;
  RouteStore& operator=(const RouteStore&) = delete;
  virtual ~RouteStore() = default;

  virtual core::Expected<StoredRoutes> Read() = 0;
  /// Same as Read() on a new connection, which cannot have gone silent. May run
  /// beside the other calls.
  virtual core::Expected<StoredRoutes> ReadOnNewConnection() = 0;
  /// Waits up to aWait for a change after the cursor. Returns the newest
  /// document, or an empty one if there was no change. Fails soon after aWait
  /// when no response has arrived, since the connection may have gone silent;
  /// the next call then uses a new connection.
  virtual core::Expected<StoredRoutes> WaitForChange(
    std::uint64_t aCursor,
    std::chrono::milliseconds aWait) = 0;
};

/// Parses a document. Fails with InvalidProfiles.
using RouteDecoder =
  std::function<core::Expected<RouteSetSource>(const std::string&)>;

} // namespace nutmegrock::routes
