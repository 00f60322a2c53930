#pragma once

#include "store/TableService.h"
#include "store/http/StoreClient.h"

#include <memory>

namespace nutmegrock::store::http {

/// TableService over the platform's HTTP interface.
class HttpTableService : public TableService
{
public:
  /// Fails with InvalidSettings when the URL is not "http://IP:PORT".
  static core::Expected<std::unique_ptr<HttpTableService>> Make(
    const StoreSettings& aSettings);

  core::Expected<std::optional<Row>> Read(const std::string& aKey) override;
  core::Expected<std::vector<Row>> Scan(const std::string& aPrefix,
                                        const std::string& aFrom,
                                        std::size_t aLimit) override;
  core::Expected<std::uint64_t> Write(const std::string& aKey,
                                      const std::string& aValue,
                                      std::uint64_t aExpected) override;
  core::Expected<bool> Remove(const std::string& aKey) override;

private:
  explicit HttpTableService(StoreClient aClient);

  StoreClient mClient;
};

} // namespace nutmegrock::store::http
