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
      return "upload";
    case RouteKind::Download:
      break;
  }
  return "download";
}

} // namespace nutmegrock::routes
