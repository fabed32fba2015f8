#pragma once

#include "store/objectclient.h"
#include "store/storedialect.h"
#include "store/storetransport.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// What became of a conditional write, and the object as the store holds it where it said so.
struct StoreWriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::optional<StoreObject> object;
    std::string detail;
};

// Between tries of a watch that broke; each is twice as long as the one before.
struct StoreRetryPauses {
    Milliseconds first { 100 };
    // All watches must be up again well within the two seconds in which a configuration is to be in force.
    Milliseconds longest { 400 };
};

// The event-driven side of the store: listings, waiting watches and conditional writes in the store's
// dialect.
class StoreSession {
public:
    using PageDone = std::function<void(absl::StatusOr<StorePage> page)>;
    using WriteDone = std::function<void(StoreWriteResult result)>;
    // Objects that changed. A whole listing replaces all that was known of the kind.
    using ChangeHandler = std::function<void(const StorePage& page, bool isWhole)>;

    StoreSession(asio::io_context& loop, StoreTransport& transport, StoreDialect dialect,
        StoreRetryPauses pauses = {});
    ~StoreSession();

    // All objects of a kind; ones that may be seconds old cost the store less.
    void list(const std::string& kind, bool mayBeStale, const PageDone& done);

    // One try of a conditional write.
    void write(const StoreWrite& write, const WriteDone& done);

    // Keeps the handler informed of a kind from now on.
    void watch(const std::string& kind, ChangeHandler handler);

    // The store was lost or answers again: watches that broke, or wait on a way that may have gone silent,
    // begin anew, through another instance as long as the store is lost.
    void onReachable(bool isReachable);

    // Watches of the kind begin no more often than once in that time; changes between come together, and may
    // come from a copy of the store that is seconds old.
    void setWatchInterval(const std::string& kind, Milliseconds interval);

    // Reads the kind from a stale copy whenever the store has answered nothing for that time, so that a way
    // to it that has gone silent is noticed while only watches wait.
    void probe(const std::string& kind, Milliseconds interval);

    // Another instance knows of that revision of the kind. Where less is known here, reads now what changed;
    // a watch under way that does not tell of it soon is given up, since its connection has gone silent.
    void hurryWatch(const std::string& kind, int64_t revision);

private:
    class KindWatch;

    void renewWatches();
    void listFrom(const std::string& kind, bool mayBeStale, StorePage before, const PageDone& done);
    StoreTransport::CallId fetchEvents(
        const std::string& kind, int64_t afterRevision, bool mayBeStale, const PageDone& done);

    asio::io_context& loop_;
    StoreTransport& transport_;
    StoreDialect dialect_;
    StoreRetryPauses pauses_;
    asio::steady_timer lostTimer_;
    asio::steady_timer probeTimer_;
    std::map<std::string, std::shared_ptr<KindWatch>> watches_; // By kind.
};

}
