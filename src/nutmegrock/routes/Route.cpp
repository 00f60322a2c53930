#include "routes/Route.h"

namespace nutmegrock::routes {

std::string_view
NameOf(RouteKind aKind)
{
  switch (aKind) {
    case RouteKind::Idempotent:
      return "idempotent";
    case RouteKind::NonIdempotent:
      return "non_idempotent";
    case RouteKind::Upload:
      break;
  }
  return "upload";
}

} // namespace nutmegrock::routes
