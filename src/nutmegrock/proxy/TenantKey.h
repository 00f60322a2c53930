#pragma once

#include "proxy/HeaderNames.h"
#include "proxy/MessageHead.h"

#include <string_view>

namespace nutmegrock::proxy {

/// Returns the key of a tenant that the request carries. Empty if there is
/// none, more than one, or one of another authentication scheme. Scheme names
/// are case-insensitive. The text is part of the head.
std::string_view
TenantKeyOf(const RequestHead& aHead, const HeaderNames& aNames);

} // namespace nutmegrock::proxy
