#pragma once

#include "standins/standin_platform/PlatformState.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

namespace nutmegrock::tests {

/// Both ports over an in-process PlatformState, with its fault switches. A
/// delay of a second or more counts as a response timeout.
class FakePlatform
  : public store::TableService
  , public store::ObjectStore
{
public:
  using Faults = standins::PlatformFaults;

  standins::PlatformState& State() { return mState; }

  core::Expected<std::optional<store::Row>> Read(
    const std::string& aKey) override
  {
    return Execute<std::optional<store::Row>>(
      false, [&] { return mState.ReadRow(aKey); });
  }
  core::Expected<std::vector<store::Row>> Scan(const std::string& aPrefix,
                                               const std::string& aFrom,
                                               std::size_t aLimit) override
  {
    return Execute<std::vector<store::Row>>(
      false, [&] { return mState.ScanRows(aPrefix, aFrom, aLimit); });
  }
  core::Expected<std::uint64_t> Write(const std::string& aKey,
                                      const std::string& aValue,
                                      std::uint64_t aExpected) override
  {
    if (mState.Faults().mDown) {
      return Unavailable();
    }
    const auto result = mState.WriteRow(aKey, aValue, aExpected);
    if (!result.mWritten) {
      return core::Fail(core::ErrorKind::VersionConflict, aKey);
    }
    return Execute<std::uint64_t>(true, [&] { return result.mVersion; });
  }
  core::Expected<bool> Remove(const std::string& aKey) override
  {
    return Execute<bool>(true, [&] {
      mState.RemoveRow(aKey);
      return true;
    });
  }
  core::Expected<std::optional<std::string>> Get(
    const std::string& aName) override
  {
    return Execute<std::optional<std::string>>(
      false, [&] { return mState.ReadObject(aName); });
  }
  core::Expected<bool> Put(const std::string& aName,
                           const std::string& aBytes) override
  {
    return Execute<bool>(true, [&] {
      mState.WriteObject(aName, aBytes);
      return true;
    });
  }

private:
  static tl::unexpected<core::Error> Unavailable()
  {
    return core::Fail(core::ErrorKind::StoreUnavailable, "fake");
  }

  template<class T, class Effect>
  core::Expected<T> Execute(bool aIsWrite, const Effect& aEffect)
  {
    const Faults faults = mState.Faults();
    if (faults.mDown) {
      return Unavailable();
    }
    T result = aEffect();
    if ((aIsWrite && mState.ShouldLoseResponse()) ||
        faults.mDelay >= std::chrono::seconds(1)) {
      return Unavailable();
    }
    return result;
  }

  standins::PlatformState mState;
};

} // namespace nutmegrock::tests
