#include "node/BackendNotices.h"
#include "core/Json.h"

#include <spdlog/fmt/fmt.h>

namespace nutmegrock::node {

namespace {

constexpr std::uint32_t kMaxCount = 100'000;

core::Expected<web::json::value>
ParseObject(const std::string& aJson)
{
  auto value = core::ParseJson(aJson);
  if (!value || !value->is_object()) {
    return core::Fail(core::ErrorKind::BadRequest,
                      "the notice is not a JSON object");
  }
  return value;
}

core::Expected<std::uint32_t>
ReadCount(const web::json::value& aObject,
          const char* aName,
          std::uint32_t aMin)
{
  if (aObject.has_field(aName)) {
    const web::json::value& value = aObject.at(aName);
    if (value.is_integer() && value.as_number().is_uint32() &&
        value.as_number().to_uint32() >= aMin &&
        value.as_number().to_uint32() <= kMaxCount) {
      return value.as_number().to_uint32();
    }
  }
  return core::Fail(
    core::ErrorKind::BadRequest,
    fmt::format(
      "\"{}\" must be a whole number from {} to {}", aName, aMin, kMaxCount));
}

} // namespace

core::Expected<Announcement>
Announcement::Parse(const std::string& aJson)
{
  const auto object = ParseObject(aJson);
  if (!object) {
    return tl::make_unexpected(object.error());
  }
  const auto slots = ReadCount(*object, "slots", 1);
  if (!slots) {
    return tl::make_unexpected(slots.error());
  }
  const auto connections = ReadCount(*object, "connections", 1);
  if (!connections) {
    return tl::make_unexpected(connections.error());
  }
  return Announcement{ *slots, *connections };
}

core::Expected<LoadReport>
LoadReport::Parse(const std::string& aJson)
{
  const auto object = ParseObject(aJson);
  if (!object) {
    return tl::make_unexpected(object.error());
  }
  const auto in_use = ReadCount(*object, "in_use", 0);
  if (!in_use) {
    return tl::make_unexpected(in_use.error());
  }
  const auto waiting = ReadCount(*object, "waiting", 0);
  if (!waiting) {
    return tl::make_unexpected(waiting.error());
  }
  return LoadReport{ *in_use, *waiting };
}

} // namespace nutmegrock::node
