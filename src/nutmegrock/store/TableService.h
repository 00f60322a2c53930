#pragma once

#include "core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::store {

/// One row of the platform's table service.
struct Row
{
  std::string mKey;
  std::string mValue;
  /// Changes with every write of the row; never 0.
  std::uint64_t mVersion = 0;

  bool operator==(const Row&) const = default;
};

/// Port to the platform's transactional table service. Calls block; they are
/// made only on control threads, never on the path of a call. Every error is
/// StoreUnavailable, after which a write may have taken effect, or
/// VersionConflict, after which it definitely has not.
class TableService
{
public:
  TableService() = default;
  TableService(const TableService&) = delete;
  TableService& operator=(const TableService&) = delete;
  virtual ~TableService() = default;

  /// Returns the row, or nothing if it does not exist.
  virtual core::Expected<std::optional<Row>> Read(const std::string& aKey) = 0;
  /// Returns at most aLimit rows whose key starts with aPrefix, in key order,
  /// starting at the first key not below aFrom.
  virtual core::Expected<std::vector<Row>> Scan(const std::string& aPrefix,
                                                const std::string& aFrom,
                                                std::size_t aLimit) = 0;
  /// Writes the row if its version is aExpected (0: the row must not exist).
  /// Returns the new version.
  virtual core::Expected<std::uint64_t> Write(const std::string& aKey,
                                              const std::string& aValue,
                                              std::uint64_t aExpected) = 0;
  /// Removes the row. Succeeds if the row does not exist.
  virtual core::Expected<bool> Remove(const std::string& aKey) = 0;
};

} // namespace nutmegrock::store
