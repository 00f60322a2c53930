#pragma once

#include "proxy/MessageHead.h"
#include "proxy/MessageText.h"

#include <string>
#include <string_view>

namespace nutmegrock::proxy {

/// Returns the request line and headers of a forwarded request, including the
/// empty line. aOwnLines are the header lines that this node sets.
inline std::string
RequestText(const RequestHead& aHead, std::string_view aOwnLines)
{
  std::string text;
  // Upper bound in bytes for framing, separators and the version in the request
  // line.
  constexpr std::size_t kExtraBytes = 128;
  text.reserve(aHead.mMethod.size() + aHead.mTarget.size() +
               aHead.mHeaderLines.size() + aHead.mKeyLines.size() +
               aOwnLines.size() + kExtraBytes);
  text += aHead.mMethod;
  text += ' ';
  text += aHead.mTarget;
  text += " HTTP/1.1\r\n";
  text += aHead.mHeaderLines;
  text += aHead.mKeyLines;
  text += aOwnLines;
  AddFraming(text, aHead.mFraming, aHead.mLength);
  text += "\r\n";
  return text;
}

} // namespace nutmegrock::proxy
