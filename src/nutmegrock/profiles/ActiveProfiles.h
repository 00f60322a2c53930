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

/// The profile set in force on this node. Safe for use by several threads.
class ActiveProfiles
{
public:
  using Snapshot = std::shared_ptr<const ProfileSet>;
  using ChangeHook = std::function<void(const Snapshot&)>;

  /// The set in force, or null before the first adoption. Holds for as long as
  /// the caller keeps it, whatever is adopted meanwhile. Does not allocate.
  Snapshot Current() const;
  /// Version in force; 0 before the first adoption.
  std::uint64_t Version() const;
  /// The record the set in force was published as, or null.
  std::shared_ptr<const ProfileRecord> Record() const;

  /// Puts a published set in force if its version is higher than the one in
  /// force; otherwise changes nothing and returns false. The version in force
  /// therefore never falls, whoever offers an older set.
  bool Activate(PublishedSet aPublished);

  /// Calls aHook after every adoption, in version order, on the adopting
  /// thread. The hook must not adopt. Hooks are added before the first
  /// adoption.
  void OnChange(ChangeHook aHook);

private:
  std::shared_ptr<const PublishedSet> Published() const;

  /// A lock of its own rather than std::atomic<std::shared_ptr>, in whose load
  /// ThreadSanitizer reports a data race with libstdc++ 12.
  mutable std::mutex mMutex;
  std::shared_ptr<const PublishedSet> mPublished;
  /// Lets the path of calls see an unchanged version without the lock.
  std::atomic<std::uint64_t> mVersion{ 0 };
  /// Orders adoptions and their hooks.
  std::mutex mAdoption;
  std::vector<ChangeHook> mHooks;
};

} // namespace nutmegrock::profiles
