#pragma once

#include "messages/generated/stored.h"
#include "sidecar/fleetdirectory.h"
#include "store/storesession.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace persimmonfield {

// Keeps this instance's entry in the store as it should be: by conditional writes, again after a failure, and
// only when something has changed.
class EntryDuty {
public:
    // `onWritten` gets the entry as the store holds it.
    EntryDuty(asio::io_context& loop, StoreSession& store, FleetDirectory& directory,
        std::function<void()> onWritten);

    // What the entry is to say from now on.
    void publish(stored::InstanceEntry entry);

    // Whether the store holds what was published last.
    bool isPublished() const { return !wanted_ || isWritten_; }

private:
    void write();
    void written(const StoreWriteResult& result);

    StoreSession& store_;
    FleetDirectory& directory_;
    std::function<void()> onWritten_;
    asio::steady_timer retryTimer_;
    std::optional<stored::InstanceEntry> wanted_;
    int64_t revision_ = 0;
    bool isWriting_ = false;
    bool isWritten_ = false;
};

}
