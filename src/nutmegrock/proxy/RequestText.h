#pragma once

#include "proxy/MessageHead.h"
#include "proxy/MessageText.h"

#include <string>
#include <string_view>

namespace nutmegrock::proxy {

/// Line and headers of a request that is passed on, with its empty line.
/// aOwnLines are the header lines that this node sets.
inline std::string
RequestText(const RequestHead& aHead, std::string_view aOwnLines)
{
  std::string text;
  // The line, framing and separators take less than this beside the rest.
  constexpr std::size_t kRest = 128;
  text.reserve(aHead.mMethod.size() + aHead.mTarget.size() +
               aHead.mHeaderLines.size() + aOwnLines.size() + kRest);
  text += aHead.mMethod;
  text += ' ';
  text += aHead.mTarget;
  text += " HTTP/1.1\r\n";
  text += aHead.mHeaderLines;
  text += aOwnLines;
  AddFraming(text, aHead.mFraming, aHead.mLength);
  text += "\r\n";
  return text;
}

} // namespace nutmegrock::proxy
