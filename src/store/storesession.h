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

// The outcome of a conditional write, and the object as the store holds it if the response contained it.
struct StoreWriteResult {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::optional<StoreObject> object;
    std::string detail;
};

// Exponential backoff between retries of a failed watch; each delay is twice the previous one, up to `max`.
struct StoreRetryBackoff {
    Milliseconds initial { 100 };
    // A configuration must be in force within two seconds, and watches must be restored well before that.
    Milliseconds max { 400 };
};

// Event-driven client of the store: listings, long-poll watches and conditional writes. The dialect defines
// the wire format.
class StoreSession {
public:
    using PageCallback = std::function<void(absl::StatusOr<StorePage> page)>;
    using WriteCallback = std::function<void(StoreWriteResult result)>;
    // Receives changed objects. A full listing replaces everything that was known about the kind.
    using ChangeHandler = std::function<void(const StorePage& page, bool isFullListing)>;

    StoreSession(asio::io_context& loop, StoreTransport& transport, StoreDialect dialect,
        StoreRetryBackoff backoff = {});
    ~StoreSession();

    // Lists all objects of a kind. Reads that may be stale by some seconds are cheaper for the store.
    void list(const std::string& kind, bool mayBeStale, const PageCallback& done);

    // Makes a single attempt at a conditional write.
    void write(const StoreWrite& write, const WriteCallback& done);

    // Lists the objects of a kind and then watches it; the handler receives the listing and each change.
    void watch(const std::string& kind, ChangeHandler handler);

    // Must be called when the store becomes unreachable or reachable again. Restarts watches that failed or
    // that wait on a connection which may be dead. While the store is unreachable, they are relayed through
    // another instance.
    void onReachabilityChanged(bool isReachable);

    // Limits watch calls for the kind to one per interval. Changes within an interval are delivered together
    // and may be read from a replica that is stale by some seconds.
    void setWatchInterval(const std::string& kind, Milliseconds interval);

    // Makes a stale read of the kind whenever the store has sent no response for `interval`. This detects a
    // connection path that silently drops packets while only long polls are in flight.
    void probe(const std::string& kind, Milliseconds interval);

    // Another instance has seen this revision of the kind. If this instance is behind, reads the changes now.
    // A watch in flight that does not deliver the revision soon is restarted, because its connection is
    // probably dead.
    void catchUpTo(const std::string& kind, int64_t revision);

private:
    class KindWatch;

    void restartWatches();
    void listFrom(const std::string& kind, bool mayBeStale, StorePage collected, const PageCallback& done);
    StoreTransport::CallId fetchEvents(
        const std::string& kind, int64_t afterRevision, bool mayBeStale, const PageCallback& done);

    asio::io_context& loop_;
    StoreTransport& transport_;
    StoreDialect dialect_;
    StoreRetryBackoff backoff_;
    asio::steady_timer restartTimer_;
    asio::steady_timer probeTimer_;
    std::map<std::string, std::shared_ptr<KindWatch>> watches_; // By kind.
};

}
