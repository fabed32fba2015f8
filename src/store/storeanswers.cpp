#include "store/storeanswers.h"

#include <fmt/format.h>

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusCreated = 201;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;

    // Whether the revision fits beside the era, as that of a sound answer does.
    bool isValidRevision(int64_t era, int64_t number)
    {
        return era >= 0 && era <= maxEra && number >= 0 && number <= maxStoreNumber;
    }

}

absl::Status statusOf(const CallResult& result)
{
    if (result.outcome != CallOutcome::Answered)
        return absl::UnavailableError(result.detail);
    if (result.response.status == statusGone)
        return absl::OutOfRangeError("the store no longer has the requested history");
    if (result.response.status != statusOk)
        return absl::UnavailableError(fmt::format("status {}", result.response.status));
    return absl::OkStatus();
}

bool isOfStore(const CallResult& result)
{
    const int status = result.response.status;
    return result.outcome == CallOutcome::Answered
        && (status == statusOk || status == statusCreated || status == statusConflict
            || status == statusNotFound);
}

absl::StatusOr<StorePage> inEra(int64_t era, absl::StatusOr<StorePage> page)
{
    if (!page.ok())
        return page;
    if (!isValidRevision(era, page->revision))
        return absl::InternalError("the revision is too large");
    page->revision = revisionIn(era, page->revision);
    for (StoreObject& object : page->objects) {
        if (!isValidRevision(era, object.revision))
            return absl::InternalError("the revision of an object is too large");
        object.revision = revisionIn(era, object.revision);
    }
    return page;
}

StoreWriteResult readWriteResult(const StoreDialect& dialect, const StoreWrite& write,
    const CallResult& result, std::optional<int64_t> era)
{
    StoreWriteResult written;
    written.detail = result.detail;
    if (result.outcome == CallOutcome::NotSent)
        written.outcome = WriteOutcome::Refused;
    if (result.outcome != CallOutcome::Answered)
        return written;
    const int status = result.response.status;
    written.detail = fmt::format("status {}", status);
    if (status == statusTooMany || status == statusUnavailable)
        written.outcome = WriteOutcome::Refused;
    if (!isOfStore(result))
        return written;
    if (!era)
        return { WriteOutcome::Refused, std::nullopt, olderEraCause };
    const bool isApplied = status == statusOk || status == statusCreated;
    // After a restore the store may have given the expected number out again, for another value.
    const bool isOtherObject = write.expectedRevision > 0 && *era != eraOf(write.expectedRevision);
    written.outcome = isApplied && !isOtherObject ? WriteOutcome::Applied : WriteOutcome::Conflict;
    if (status == statusNotFound)
        return written;
    auto object = dialect.readObject(write.kind, result.response.body);
    if (object.ok() && isValidRevision(*era, object->revision)) {
        object->revision = revisionIn(*era, object->revision);
        written.object = *std::move(object);
    } else if (isApplied) {
        written.outcome = WriteOutcome::Unknown;
    }
    return written;
}

}
