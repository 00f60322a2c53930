#include "experiment/DeploymentSpec.h"

#include "core/Importance.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::experiment {

namespace {

// Above 64 KiB, so that uploads are streamed between nodes.
constexpr std::size_t kPhotoBytes = std::size_t{ 72 } * 1024;

ServiceSpec
Scaled(std::string aName,
       std::size_t aServers,
       double aSlots,
       double aConnections,
       double aMeanSeconds)
{
  const auto scale = [](double aSize) {
    return static_cast<std::size_t>(std::ceil(aSize / DeploymentSpec::kScale));
  };
  return {
    std::move(aName), aServers, scale(aSlots), scale(aConnections), aMeanSeconds
  };
}

RequestKind
Kind(std::string aName,
     std::string aService,
     std::string aPath,
     std::string_view aPlan,
     double aShare,
     core::Importance aImportance,
     std::size_t aBodyBytes = 0)
{
  return { std::move(aName), std::move(aService),
           std::move(aPath), *Plan::Parse(aPlan),
           aShare,           aImportance == core::Importance::Critical,
           aBodyBytes,       static_cast<int>(aImportance) };
}

// The call graphs are acyclic: a run holds its slot during its nested calls, so
// two services that wait for each other's slots would deadlock. The shares keep
// important work below capacity in each overload case: at four times the
// demand, and at twice the demand with a slow deep service. The mean service
// time of the deep service is low enough for a request to meet a timeout of 2 s
// when that service is five times slower.
DeploymentSpec
Haufiku()
{
  DeploymentSpec spec;
  spec.mName = "haufiku";
  spec.mRegion = "khomas";
  spec.mZones = { "khomas-a", "khomas-b", "khomas-c", "khomas-d" };
  spec.mClientLatency = std::chrono::milliseconds(1);
  spec.mServices = { Scaled("tracker", 6, 130, 850, 0.030),
                     Scaled("till", 4, 190, 1250, 0.060),
                     Scaled("assessor", 4, 190, 1250, 0.120),
                     Scaled("dispatch", 4, 25, 250, 0.030) };
  spec.mKinds = { Kind("progress",
                       "tracker",
                       "progress",
                       "assessor/state",
                       0.55,
                       core::Importance::Normal),
                  Kind("photo",
                       "assessor",
                       "photo",
                       "",
                       0.37,
                       core::Importance::Low,
                       kPhotoBytes),
                  Kind("deposit",
                       "till",
                       "deposit",
                       "tracker/order(assessor/estimate)",
                       0.05,
                       core::Importance::Critical),
                  Kind("crew-booking",
                       "dispatch",
                       "booking",
                       "till/check+tracker/order",
                       0.03,
                       core::Importance::Critical) };
  spec.mDeepService = "assessor";
  return spec;
}

DeploymentSpec
Daugava()
{
  DeploymentSpec spec;
  spec.mName = "daugava";
  spec.mRegion = "vidzeme";
  spec.mZones = { "vidzeme-a", "vidzeme-b", "vidzeme-c" };
  spec.mClientLatency = std::chrono::milliseconds(8);
  spec.mServices = { Scaled("depot-stock", 5, 170, 1100, 0.030),
                     Scaled("reservations", 4, 200, 1400, 0.060),
                     Scaled("inspections", 3, 300, 1800, 0.140),
                     Scaled("dispatch", 3, 65, 500, 0.030) };
  spec.mKinds = { Kind("stock-check",
                       "depot-stock",
                       "check",
                       "inspections/state",
                       0.55,
                       core::Importance::Normal),
                  Kind("inspection-photo",
                       "inspections",
                       "photo",
                       "",
                       0.37,
                       core::Importance::Low,
                       kPhotoBytes),
                  Kind("reservation",
                       "reservations",
                       "reserve",
                       "depot-stock/lock(inspections/state)",
                       0.05,
                       core::Importance::Critical),
                  Kind("truck-dispatch",
                       "dispatch",
                       "truck",
                       "reservations/check+depot-stock/order",
                       0.03,
                       core::Importance::Critical) };
  spec.mDeepService = "inspections";
  return spec;
}

} // namespace

core::Expected<DeploymentSpec>
DeploymentSpec::Named(std::string_view aName)
{
  if (aName == "haufiku") {
    return Haufiku();
  }
  if (aName == "daugava") {
    return Daugava();
  }
  return core::Fail(core::ErrorKind::NotFound,
                    "no deployment " + std::string(aName));
}

const ServiceSpec*
DeploymentSpec::Find(std::string_view aService) const
{
  const auto found = std::find_if(
    mServices.begin(), mServices.end(), [aService](const ServiceSpec& aSpec) {
      return aSpec.mName == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

std::size_t
DeploymentSpec::ServerCount() const
{
  std::size_t count = 0;
  for (const ServiceSpec& service : mServices) {
    count += service.mServers;
  }
  return count;
}

} // namespace nutmegrock::experiment
