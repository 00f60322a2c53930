#pragma once

#include "store/ObjectStore.h"
#include "store/http/StoreClient.h"

#include <memory>

namespace nutmegrock::store::http {

/// ObjectStore over the platform's HTTP interface.
class HttpObjectStore : public ObjectStore
{
public:
  /// Fails with InvalidSettings when the URL is not "http://IP:PORT".
  static core::Expected<std::unique_ptr<HttpObjectStore>> Make(
    const StoreSettings& aSettings);

  core::Expected<std::optional<std::string>> Get(
    const std::string& aName) override;
  core::Expected<bool> Put(const std::string& aName,
                           const std::string& aBytes) override;

private:
  explicit HttpObjectStore(StoreClient aClient);

  StoreClient mClient;
};

} // namespace nutmegrock::store::http
