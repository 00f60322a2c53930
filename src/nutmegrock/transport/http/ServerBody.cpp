#include "transport/http/ServerBody.h"

#include "transport/http/ServerConnection.h"

#include <utility>

namespace nutmegrock::transport::http {

ServerBody::ServerBody(std::weak_ptr<ServerConnection> aConnection,
                       std::uint64_t aExchange)
  : mConnection(std::move(aConnection))
  , mExchange(aExchange)
{
}

void
ServerBody::Next(ChunkHandler aHandler)
{
  if (const auto connection = mConnection.lock()) {
    connection->NextChunk(mExchange, std::move(aHandler));
    return;
  }
  aHandler(core::Fail(core::ErrorKind::BodyIncomplete,
                      "the caller's connection is closed"));
}

} // namespace nutmegrock::transport::http
