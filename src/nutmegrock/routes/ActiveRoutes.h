#pragma once

#include "routes/RouteSet.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace nutmegrock::routes {

/// The version of the routes in force in this process. Versions only rise.
/// Safe from any thread.
class ActiveRoutes
{
public:
  using Listener = std::function<void(const RouteSetPtr&)>;

  /// The routes in force, or null when none have arrived yet.
  RouteSetPtr Current() const;
  /// Version in force, 0 for none.
  std::uint64_t Version() const;
  /// Puts the routes in force if their version is higher; otherwise changes
  /// nothing and returns false.
  bool Activate(const RouteSetPtr& aSet);
  /// Called after each change, on the thread of Activate(). Set before the
  /// first.
  void OnChange(Listener aListener);

private:
  mutable std::mutex mMutex;
  RouteSetPtr mCurrent;
  Listener mListener;
};

} // namespace nutmegrock::routes
