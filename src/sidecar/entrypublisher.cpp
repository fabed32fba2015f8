#include "sidecar/entrypublisher.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds retryDelay { 250 };

    nlohmann::json valueOf(const stored::InstanceEntry& entry)
    {
        return nlohmann::json(entry);
    }

}

EntryPublisher::EntryPublisher(
    asio::io_context& loop, StoreSession& store, FleetDirectory& directory, std::function<void()> onWritten)
    : store_(store)
    , directory_(directory)
    , onWritten_(std::move(onWritten))
    , retryTimer_(loop)
{
}

void EntryPublisher::publish(stored::InstanceEntry entry)
{
    if (desired_)
        entry.era = desired_->era;
    if (desired_ && valueOf(*desired_) == valueOf(entry))
        return;
    desired_ = std::move(entry);
    isWritten_ = false;
    write();
}

void EntryPublisher::restore()
{
    if (!desired_)
        return;
    const auto known = directory_.instances().find(desired_->name);
    if (known == directory_.instances().end() || known->second.isStored)
        return;
    log(LogLevel::Info, "entry-restored", { { "revision", known->second.storeRevision } });
    stored_.reset();
    isWritten_ = false;
    write();
}

void EntryPublisher::write()
{
    if (isWriting_ || isWritten_ || !desired_)
        return;
    isWriting_ = true;
    isWritten_ = true;
    if (store_.era() > 0)
        desired_->era = store_.era();
    const auto known = directory_.instances().find(desired_->name);
    if (known != directory_.instances().end())
        revision_ = std::max(revision_, known->second.storeRevision);
    sent_ = desired_;
    store_.write({ fleetKind, instanceObjectName(desired_->name), valueOf(*desired_), revision_ },
        [this](const StoreWriteResult& result) { onWriteDone(result); });
}

void EntryPublisher::onWriteDone(const StoreWriteResult& result)
{
    isWriting_ = false;
    if (result.object) {
        revision_ = result.object->revision;
        directory_.apply({ { *result.object }, false, result.object->revision }, false);
    }
    if (result.outcome == WriteOutcome::Applied) {
        stored_ = std::move(sent_);
        onWritten_();
        return write();
    }
    isWritten_ = false;
    log(LogLevel::Info, "entry-not-written", { { "cause", result.detail }, { "revision", revision_ } });
    // The object has another revision, which is known now, or it no longer exists.
    if (result.outcome == WriteOutcome::Conflict) {
        stored_.reset();
        if (!result.object)
            revision_ = 0;
        return write();
    }
    retryTimer_.expires_after(retryDelay);
    retryTimer_.async_wait([this](std::error_code error) {
        if (!error)
            write();
    });
}

}
