#pragma once

#include "routes/RouteSet.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace nutmegrock::routes {

/// The routes in force in this process. The version only increases.
/// Thread-safe.
class ActiveRoutes
{
public:
  using Listener = std::function<void(const RouteSetPtr&)>;

  /// The routes in force, or null when none have arrived yet.
  RouteSetPtr Current() const;
  /// Version in force, 0 for none.
  std::uint64_t Version() const;
  /// Puts the routes in force and returns true if their version is higher;
  /// otherwise changes nothing and returns false.
  bool Activate(const RouteSetPtr& aSet);
  /// Sets the hook for changes, which runs on the thread that called
  /// Activate(). Set it before the first change.
  void OnChange(Listener aListener);

private:
  mutable std::mutex mMutex;
  RouteSetPtr mCurrent;
  Listener mListener;
};

} // namespace nutmegrock::routes
