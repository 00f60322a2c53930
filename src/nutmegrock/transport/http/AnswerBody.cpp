#include "transport/http/AnswerBody.h"

#include "transport/http/BackendExchange.h"

#include <utility>

namespace nutmegrock::transport::http {

AnswerBody::AnswerBody(std::shared_ptr<BackendExchange> aExchange)
  : mExchange(std::move(aExchange))
{
}

AnswerBody::~AnswerBody()
{
  mExchange->Abandon();
}

void
AnswerBody::Next(ChunkHandler aHandler)
{
  mExchange->NextChunk(std::move(aHandler));
}

} // namespace nutmegrock::transport::http
