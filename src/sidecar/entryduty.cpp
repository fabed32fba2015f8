#include "sidecar/entryduty.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds retryPause { 250 };

    nlohmann::json valueOf(const stored::InstanceEntry& entry)
    {
        return nlohmann::json(entry);
    }

}

EntryDuty::EntryDuty(
    asio::io_context& loop, StoreSession& store, FleetDirectory& directory, std::function<void()> onWritten)
    : store_(store)
    , directory_(directory)
    , onWritten_(std::move(onWritten))
    , retryTimer_(loop)
{
}

void EntryDuty::publish(stored::InstanceEntry entry)
{
    if (wanted_ && valueOf(*wanted_) == valueOf(entry))
        return;
    wanted_ = std::move(entry);
    isWritten_ = false;
    write();
}

void EntryDuty::write()
{
    if (isWriting_ || isWritten_ || !wanted_)
        return;
    isWriting_ = true;
    isWritten_ = true;
    const auto known = directory_.instances().find(wanted_->name);
    if (known != directory_.instances().end())
        revision_ = std::max(revision_, known->second.revision);
    store_.write({ fleetKind, instanceObjectName(wanted_->name), valueOf(*wanted_), revision_ },
        [this](const StoreWriteResult& result) { written(result); });
}

void EntryDuty::written(const StoreWriteResult& result)
{
    isWriting_ = false;
    if (result.object) {
        revision_ = result.object->revision;
        directory_.apply({ { *result.object }, false, result.object->revision }, false);
    }
    if (result.outcome == WriteOutcome::Applied) {
        onWritten_();
        return write();
    }
    isWritten_ = false;
    log(LogLevel::Info, "entry-not-written", { { "cause", result.detail }, { "revision", revision_ } });
    // The object was of another revision, which is known now; or it is gone.
    if (result.outcome == WriteOutcome::Conflict) {
        if (!result.object)
            revision_ = 0;
        return write();
    }
    retryTimer_.expires_after(retryPause);
    retryTimer_.async_wait([this](std::error_code error) {
        if (!error)
            write();
    });
}

}
