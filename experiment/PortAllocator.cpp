#include "experiment/PortAllocator.h"

#include "core/Hash.h"

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegrock::experiment {

namespace {

bool
IsFree(int aType, std::uint16_t aPort)
{
  const int handle = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  if (handle < 0) {
    return false;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = ::bind(handle,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  ::close(handle);
  return bound;
}

} // namespace

PortAllocator::PortAllocator(std::uint64_t aSeed)
  : mNext(static_cast<std::uint16_t>(
      kFirst + core::HashOf(std::to_string(aSeed)) % (kLast - kFirst + 1)))
{
}

core::Expected<core::Address>
PortAllocator::Next()
{
  for (int tried = 0; tried <= kLast - kFirst; ++tried) {
    const std::uint16_t port = mNext;
    mNext = port == kLast ? kFirst : static_cast<std::uint16_t>(port + 1);
    if (IsFree(SOCK_STREAM, port) && IsFree(SOCK_DGRAM, port)) {
      return core::Address{ "127.0.0.1", port };
    }
  }
  return core::Fail(core::ErrorKind::Internal, "no free port");
}

} // namespace nutmegrock::experiment
