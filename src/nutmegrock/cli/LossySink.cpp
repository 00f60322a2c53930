#include "cli/LossySink.h"

#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <string>
#include <unistd.h>

namespace nutmegrock::cli {

LossySink::LossySink(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  const int flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool
LossySink::WriteLine(const char* aBytes, std::size_t aSize)
{
  const ssize_t written = write(mDescriptor, aBytes, aSize);
  if (written == static_cast<ssize_t>(aSize)) {
    return true;
  }
  mPartialLine = mPartialLine || written > 0;
  return false;
}

void
LossySink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  std::string text = mPartialLine ? "\n" : "";
  if (mUnreported > 0) {
    text += fmt::format("event=log_lines_lost count={}\n", mUnreported);
  }
  text.append(line.data(), line.size());
  if (WriteLine(text.data(), text.size())) {
    mPartialLine = false;
    mUnreported = 0;
    return;
  }
  ++mUnreported;
  ++mDropped;
}

} // namespace nutmegrock::cli
