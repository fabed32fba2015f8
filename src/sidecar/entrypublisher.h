#pragma once

#include "messages/generated/stored.h"
#include "sidecar/fleetdirectory.h"
#include "store/storesession.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace persimmonfield {

// Publishes this instance's entry in the store by conditional writes. Writes only when the entry has changed,
// and retries after a failure.
class EntryPublisher {
public:
    // `onWritten` is called after each successful write, when the directory already holds the new entry.
    EntryPublisher(asio::io_context& loop, StoreSession& store, FleetDirectory& directory,
        std::function<void()> onWritten);

    // Sets the entry that the store is to hold from now on.
    void publish(stored::InstanceEntry entry);

    // Writes the entry again if the store was restored from a copy that lacks it or has an older one. To be
    // called when the directory has applied a listing.
    void restore();

    // The newest entry that the store has acknowledged; nullopt if there is none, or if the store is known to
    // hold another one.
    const std::optional<stored::InstanceEntry>& storedEntry() const { return stored_; }

private:
    void write();
    void onWriteDone(const StoreWriteResult& result);

    StoreSession& store_;
    FleetDirectory& directory_;
    std::function<void()> onWritten_;
    asio::steady_timer retryTimer_;
    std::optional<stored::InstanceEntry> desired_;
    std::optional<stored::InstanceEntry> sent_; // By the write in flight.
    std::optional<stored::InstanceEntry> stored_;
    int64_t revision_ = 0;
    bool isWriting_ = false;
    bool isWritten_ = false; // Or being written.
};

}
