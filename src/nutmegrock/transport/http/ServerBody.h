#pragma once

#include "transport/Body.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::transport::http {

class ServerConnection;

/// Body of a call, read from its connection on demand.
class ServerBody final : public BodyReader
{
public:
  ServerBody(std::weak_ptr<ServerConnection> aConnection,
             std::uint64_t aExchange);

  void Next(ChunkHandler aHandler) override;

private:
  const std::weak_ptr<ServerConnection> mConnection;
  const std::uint64_t mExchange;
};

} // namespace nutmegrock::transport::http
