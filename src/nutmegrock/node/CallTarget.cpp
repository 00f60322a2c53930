#include "node/CallTarget.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::node {

core::Expected<CallTarget>
CallTarget::Parse(std::string_view aTarget)
{
  struct Prefix
  {
    std::string_view mText;
    TargetKind mKind;
  };
  for (const Prefix& prefix : { Prefix{ "/call/", TargetKind::Call },
                                Prefix{ "/keys/", TargetKind::Keys },
                                Prefix{ "/backend/", TargetKind::Notice } }) {
    if (aTarget.substr(0, prefix.mText.size()) != prefix.mText) {
      continue;
    }
    const std::string_view rest = aTarget.substr(prefix.mText.size());
    const auto end = rest.find_first_of("/?");
    CallTarget target;
    target.mKind = prefix.mKind;
    target.mName = rest.substr(0, end);
    if (target.mName.empty()) {
      break;
    }
    target.mPath = end == std::string_view::npos ? "" : rest.substr(end);
    if (target.mPath.empty() || target.mPath.front() != '/') {
      target.mPath.insert(0, 1, '/');
    }
    return target;
  }
  return core::Fail(
    core::ErrorKind::NotFound,
    fmt::format("\"{}\" is not /call/<service>/<path> or /keys/<service>",
                aTarget.substr(0, 100)));
}

} // namespace nutmegrock::node
