#pragma once

#include "transport/Body.h"

#include <memory>

namespace nutmegrock::transport::http {

class BackendExchange;

/// Body of an answer, read from the backend server as far as it is taken.
class AnswerBody final : public BodyReader
{
public:
  explicit AnswerBody(std::shared_ptr<BackendExchange> aExchange);
  AnswerBody(const AnswerBody&) = delete;
  AnswerBody& operator=(const AnswerBody&) = delete;
  /// Ends the exchange unless the body was read to its end.
  ~AnswerBody() override;

  void Next(ChunkHandler aHandler) override;

private:
  const std::shared_ptr<BackendExchange> mExchange;
};

} // namespace nutmegrock::transport::http
