#pragma once

#include "transport/Body.h"

#include <memory>

namespace nutmegrock::transport::http {

class BackendExchange;

/// Response body, read from the backend server on demand.
class ResponseBody final : public BodyReader
{
public:
  explicit ResponseBody(std::shared_ptr<BackendExchange> aExchange);
  ResponseBody(const ResponseBody&) = delete;
  ResponseBody& operator=(const ResponseBody&) = delete;
  /// Aborts the exchange unless the body was read to its end.
  ~ResponseBody() override;

  void Next(ChunkHandler aHandler) override;

private:
  const std::shared_ptr<BackendExchange> mExchange;
};

} // namespace nutmegrock::transport::http
