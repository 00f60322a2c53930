#pragma once

#include "profiles/ProfileRecord.h"
#include "profiles/ProfileSet.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace nutmegrock::profiles {

/// The profile set in force on this node. Thread-safe.
class ActiveProfiles
{
public:
  using Snapshot = std::shared_ptr<const ProfileSet>;
  using ChangeHook = std::function<void(const Snapshot&)>;

  /// The set in force, or null before the first activation. Stays valid and
  /// unchanged while the caller keeps it. Does not allocate.
  Snapshot Current() const;
  /// Version in force; 0 before the first activation.
  std::uint64_t Version() const;
  /// The publication record of the set in force, or null.
  std::shared_ptr<const ProfileRecord> Record() const;

  /// Puts a published set in force if its version is higher than the one in
  /// force; otherwise changes nothing and returns false. The version in force
  /// therefore never decreases, even if an older set is offered.
  bool Activate(PublishedSet aPublished);

  /// Registers a hook that is called after every activation, in version order,
  /// on the activating thread. The hook must not activate a set. Hooks must be
  /// registered before the first activation.
  void OnChange(ChangeHook aHook);

private:
  std::shared_ptr<const PublishedSet> Published() const;

  /// Guards mPublished. Not std::atomic<std::shared_ptr>, in whose load
  /// ThreadSanitizer reports a data race with libstdc++ 12.
  mutable std::mutex mMutex;
  std::shared_ptr<const PublishedSet> mPublished;
  /// Lets the call path read the version without the lock.
  std::atomic<std::uint64_t> mVersion{ 0 };
  /// Serializes activations and their hooks.
  std::mutex mActivationMutex;
  std::vector<ChangeHook> mHooks;
};

} // namespace nutmegrock::profiles
