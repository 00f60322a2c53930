#pragma once

#include "core/Error.h"

#include <optional>
#include <string>

namespace nutmegrock::store {

/// Port to the platform's object store. Calls block, as with TableService.
/// Every error is StoreUnavailable; a failed write may have taken effect.
class ObjectStore
{
public:
  ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;
  virtual ~ObjectStore() = default;

  /// Returns the object, or nothing if it does not exist.
  virtual core::Expected<std::optional<std::string>> Get(
    const std::string& aName) = 0;
  /// Writes the whole object.
  virtual core::Expected<bool> Put(const std::string& aName,
                                   const std::string& aBytes) = 0;
};

} // namespace nutmegrock::store
