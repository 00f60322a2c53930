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

/// The record with "document", "profiles" and "services".
web::json::value
JsonOf(const profiles::PublishedSet& aPublished);

/// [{"line", "key", "message"}].
web::json::value
JsonOf(const std::vector<profiles::DocumentFault>& aFaults);

/// [{"path", "before", "after"}]; null for a value that is absent.
web::json::value
JsonOf(const std::vector<profiles::ProfileChange>& aChanges);

} // namespace nutmegrock::admin
