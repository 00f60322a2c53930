#include "profiles/ProfileHolder.h"

#include <utility>

namespace nutmegrock::profiles {

std::shared_ptr<const PublishedSet>
ProfileHolder::Published() const
{
  const std::scoped_lock lock(mMutex);
  return mPublished;
}

ProfileHolder::Snapshot
ProfileHolder::Current() const
{
  const auto published = Published();
  return published ? Snapshot(published, &published->mSet) : nullptr;
}

std::uint64_t
ProfileHolder::Version() const
{
  return mVersion.load(std::memory_order_acquire);
}

std::shared_ptr<const ProfileRecord>
ProfileHolder::Record() const
{
  const auto published = Published();
  return published ? std::shared_ptr<const ProfileRecord>(published,
                                                          &published->mRecord)
                   : nullptr;
}

bool
ProfileHolder::Adopt(PublishedSet aPublished)
{
  const std::scoped_lock adoption(mAdoption);
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
ProfileHolder::OnChange(ChangeHook aHook)
{
  const std::scoped_lock adoption(mAdoption);
  mHooks.push_back(std::move(aHook));
}

} // namespace nutmegrock::profiles
