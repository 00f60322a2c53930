#include "core/Error.h"

#include <utility>

namespace nutmegrock::core {

Error
MakeError(ErrorKind aKind, std::string aMessage)
{
  Error error;
  error.mKind = aKind;
  error.mMessage = std::move(aMessage);
  error.mRun = RowOf(aKind).mRun;
  return error;
}

tl::unexpected<Error>
Fail(ErrorKind aKind, std::string aMessage)
{
  return tl::make_unexpected(MakeError(aKind, std::move(aMessage)));
}

Error
MarkPossiblyRun(Error aError)
{
  if (aError.mRun == RunCertainty::NotRun) {
    aError.mRun = RunCertainty::Unknown;
  }
  return aError;
}

} // namespace nutmegrock::core
