#include "profiles/ActiveProfiles.h"

#include <utility>

namespace nutmegrock::profiles {

std::shared_ptr<const PublishedSet>
ActiveProfiles::Published() const
{
  const std::scoped_lock lock(mMutex);
  return mPublished;
}

ActiveProfiles::Snapshot
ActiveProfiles::Current() const
{
  const auto published = Published();
  return published ? Snapshot(published, &published->mSet) : nullptr;
}

std::uint64_t
ActiveProfiles::Version() const
{
  return mVersion.load(std::memory_order_acquire);
}

std::shared_ptr<const ProfileRecord>
ActiveProfiles::Record() const
{
  const auto published = Published();
  return published ? std::shared_ptr<const ProfileRecord>(published,
                                                          &published->mRecord)
                   : nullptr;
}

bool
ActiveProfiles::Activate(PublishedSet aPublished)
{
  const std::scoped_lock activation(mActivationMutex);
  if (aPublished.mSet.mVersion <= Version()) {
    return false;
  }
  const auto published =
    std::make_shared<const PublishedSet>(std::move(aPublished));
  const Snapshot snapshot(published, &published->mSet);
  {
    const std::scoped_lock lock(mMutex);
    mPublished = published;
  }
  mVersion.store(snapshot->mVersion, std::memory_order_release);
  for (const ChangeHook& hook : mHooks) {
    hook(snapshot);
  }
  return true;
}

void
ActiveProfiles::OnChange(ChangeHook aHook)
{
  const std::scoped_lock activation(mActivationMutex);
  mHooks.push_back(std::move(aHook));
}

} // namespace nutmegrock::profiles
