#pragma once

#include "profiles/DocumentFault.h"
#include "profiles/ProfileDifference.h"
#include "profiles/ProfileRecord.h"

#include <cpprest/json.h>
#include <vector>

namespace nutmegrock::admin {

/// {"version", "publication", "author", "time"}.
web::json::value
JsonOf(const profiles::ProfileRecord& aRecord);

/// The JSON of the record with "document", "profiles" and "services" added.
web::json::value
JsonOf(const profiles::PublishedSet& aPublished);

/// [{"line", "key", "message"}].
web::json::value
JsonOf(const std::vector<profiles::DocumentFault>& aFaults);

/// [{"path", "before", "after"}]; null for an absent value.
web::json::value
JsonOf(const std::vector<profiles::ProfileChange>& aChanges);

} // namespace nutmegrock::admin
