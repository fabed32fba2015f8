#pragma once

#include "http/httpclient.h"
#include "store/storedialect.h"
#include "store/storesession.h"

#include <absl/status/statusor.h>

#include <optional>

namespace persimmonfield {

inline constexpr const char* olderEraCause = "the store was restored since";

// The error that the answer to a read states: OutOfRange for history that is no longer kept.
absl::Status statusOf(const CallResult& result);

// Whether the store has done what was asked, or states why not. Other answers may come from anywhere on the
// way and state no era.
bool isOfStore(const CallResult& result);

// Puts the era into the revisions of the page.
absl::StatusOr<StorePage> inEra(int64_t era, absl::StatusOr<StorePage> page);

// The outcome of a write. `era` is the one of the answer; nullopt if the store was restored since, so that
// whatever the write has done is gone.
StoreWriteResult readWriteResult(const StoreDialect& dialect, const StoreWrite& write,
    const CallResult& result, std::optional<int64_t> era);

}
