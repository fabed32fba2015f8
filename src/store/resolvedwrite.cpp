#include "store/resolvedwrite.h"

#include "base/boundedjson.h"

#include <optional>
#include <thread>

namespace persimmonfield {
namespace {

    // Determines whether the object holds this write's value; nullopt if the store could not be read.
    std::optional<WriteResult> resolveByReading(const StoreCalls& calls, const IdentifiedWrite& write)
    {
        const auto object = calls.read(write.name);
        if (!object.ok())
            return std::nullopt;
        const auto value = parseJson(object->value).value_or(nlohmann::json());
        if (value.is_object() && value.value("operationId", "") == write.operationId)
            return WriteResult { WriteOutcome::Applied, object->version, {} };
        return WriteResult { WriteOutcome::Unknown, 0, "the object holds the value of another write" };
    }

}

StoreCalls storeCalls(const ObjectClient& client, Milliseconds retryInterval, Milliseconds timeout)
{
    const TimePoint end = BootClock::now() + timeout;
    StoreCalls calls;
    calls.write = [&client](const std::string& name, const std::string& value, int64_t expectedVersion) {
        return client.write(name, value, expectedVersion);
    };
    calls.read = [&client](const std::string& name) { return client.read(name); };
    calls.waitBeforeRetry = [retryInterval, end] {
        if (BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(retryInterval);
        return true;
    };
    return calls;
}

WriteResult writeResolved(const StoreCalls& calls, const IdentifiedWrite& write)
{
    bool mayHaveApplied = write.mayHaveApplied;
    while (true) {
        WriteResult result = calls.write(write.name, write.value, write.expectedVersion);
        if (result.outcome == WriteOutcome::Applied)
            return result;
        if (result.outcome == WriteOutcome::Conflict) {
            if (!mayHaveApplied)
                return result;
            if (const auto resolved = resolveByReading(calls, write))
                return *resolved;
        }
        if (result.outcome == WriteOutcome::Unknown)
            mayHaveApplied = true;
        if (!calls.waitBeforeRetry()) {
            if (mayHaveApplied)
                result.outcome = WriteOutcome::Unknown;
            return result;
        }
    }
}

}
