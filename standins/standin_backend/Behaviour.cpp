#include "standins/standin_backend/Behaviour.h"

#include <cpprest/json.h>

namespace nutmegrock::standin_backend {

namespace {

LoadReport
ParseLoadReport(const std::string& aName)
{
  if (aName == "zero") {
    return LoadReport::Zero;
  }
  if (aName == "times3") {
    return LoadReport::Times3;
  }
  if (aName == "late") {
    return LoadReport::Late;
  }
  if (aName == "true") {
    return LoadReport::Truthful;
  }
  throw web::json::json_exception("unknown value of lie_load: " + aName);
}

void
Apply(Behaviour& aBehaviour,
      const std::string& aName,
      const web::json::value& aValue)
{
  if (aName == "slowdown") {
    aBehaviour.mSlowdown = aValue.as_double();
  } else if (aName == "fail") {
    aBehaviour.mFail = aValue.as_double();
  } else if (aName == "shed") {
    aBehaviour.mShed = aValue.as_double();
  } else if (aName == "hang") {
    aBehaviour.mHang = aValue.as_bool();
  } else if (aName == "lie_load") {
    aBehaviour.mLoadReport = ParseLoadReport(aValue.as_string());
  } else if (aName == "drop_headers") {
    aBehaviour.mDropHeaders = aValue.as_bool();
  } else {
    throw web::json::json_exception("unknown switch: " + aName);
  }
}

} // namespace

core::Expected<Behaviour>
Behaviour::With(const std::string& aJson) const
{
  Behaviour changed = *this;
  try {
    const auto value = web::json::value::parse(aJson);
    for (const auto& [name, field] : value.as_object()) {
      Apply(changed, name, field);
    }
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::BadRequest, error.what());
  }
  return changed;
}

} // namespace nutmegrock::standin_backend
