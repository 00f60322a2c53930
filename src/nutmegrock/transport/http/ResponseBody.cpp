#include "transport/http/ResponseBody.h"

#include "transport/http/BackendExchange.h"

#include <utility>

namespace nutmegrock::transport::http {

ResponseBody::ResponseBody(std::shared_ptr<BackendExchange> aExchange)
  : mExchange(std::move(aExchange))
{
}

ResponseBody::~ResponseBody()
{
  mExchange->Abandon();
}

void
ResponseBody::Next(ChunkHandler aHandler)
{
  mExchange->NextChunk(std::move(aHandler));
}

} // namespace nutmegrock::transport::http
