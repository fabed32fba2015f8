#pragma once

#include "base/counters.h"
#include "store/objectclient.h"
#include "store/storedialect.h"
#include "store/storerevision.h"
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
// the wire format. All revisions are ordered by the store's era, see storerevision.h; answers of an older era
// than the known one count as lost.
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

    // Lists like list(), directly and through another instance at the same time.
    void listBothWays(const std::string& kind, const PageCallback& done);

    // Makes a single attempt at a conditional write.
    void write(const StoreWrite& write, const WriteCallback& done);

    // Lists the objects of a kind and then watches it; the handler receives the listing and each change.
    void watch(const std::string& kind, ChangeHandler handler);

    // The store's era, as far as it is known.
    int64_t era() const { return era_; }

    // Called when the store states an era for the first time, and whenever it was restored from an older
    // copy: before any object of the new era is passed on. All watches then list their kinds anew.
    void setEraHandler(std::function<void(int64_t era)> handler) { onNewEra_ = std::move(handler); }

    // Sets the delay before a kind is listed anew in a new era, so that the instances of a fleet do not do so
    // all at once.
    void setRelistDelay(std::function<Milliseconds()> delay) { relistDelay_ = std::move(delay); }

    // Another instance has seen this revision, which may be of a newer era.
    void observeRevision(int64_t revision) { observeEra(eraOf(revision)); }

    // Counts the calls by what they do and the kind of objects, as "store_calls_total" with the label "call".
    void setCounters(Counters& counters) { counters_ = &counters; }

    // Must be called when the store becomes unreachable or reachable again. Restarts watches that failed or
    // that wait on a connection which may be dead. While the store is unreachable, they are relayed through
    // another instance.
    void onReachabilityChanged(bool isReachable);

    // Called with each page that a watch has received, before its handler.
    using PageObserver
        = std::function<void(const std::string& kind, const StorePage& page, bool isFullListing)>;
    void setPageObserver(PageObserver observer) { pageObserver_ = std::move(observer); }

    // While another instance passes the changes on, see applyFeedPage(), no watch is in flight. Afterwards
    // the watches continue from the last known revisions.
    void setFollowing(bool isFollowing);
    bool isFollowing() const { return isFollowing_; }

    // The handler gets the time of a direct response of the store which shows that no change is missing of
    // the kinds without a watch interval: all of them are being watched. Called whenever that time advances.
    void setCurrentHandler(std::function<void(TimePoint at)> handler) { onCurrent_ = std::move(handler); }

    // Must be called when the store has responded to a direct call.
    void onDirectAnswer();

    // Makes a stale read of the probed kind, only directly. `done` gets whether the store has responded.
    void checkStore(Milliseconds timeout, const std::function<void(bool hasResponded)>& done);

    // The revisions up to which the watched kinds are known; none for a kind that is being listed.
    std::map<std::string, int64_t> revisions() const;

    enum class FeedResult {
        Applied,
        Ignored, // Nothing is new, or the kind is not followed at present.
        Gap, // Changes between the last known revision and those of the page are missing.
    };
    // Applies all changes after the revision `after` that another instance has passed on.
    FeedResult applyFeedPage(const std::string& kind, int64_t after, const StorePage& page);

    // Lists the kind anew, because the changes since its last known revision are not to be had.
    void relist(const std::string& kind);

    // Limits watch calls for the kind to one per interval. Changes within an interval are delivered together
    // and may be read from a replica that is stale by some seconds.
    void setWatchInterval(const std::string& kind, Milliseconds interval);

    // Makes a stale read of the kind whenever the store has sent no response for `interval`. This detects a
    // connection path that silently drops packets while only long polls are in flight. Before the read times
    // out, the kinds without a watch interval are read through other instances. Instances that follow another
    // one need no probe.
    void probe(const std::string& kind, Milliseconds interval);

    // Another instance has seen this revision of the kind. If this instance is behind, reads the changes now.
    // A watch in flight that does not deliver the revision soon is restarted, because its connection is
    // probably dead.
    void catchUpTo(const std::string& kind, int64_t revision);

private:
    class KindWatch;

    void observeEra(int64_t era);
    std::optional<int64_t> eraOfAnswer(const CallResult& result);
    Milliseconds relistDelay() const { return relistDelay_ ? relistDelay_() : Milliseconds(0); }
    StoreWriteResult writeResult(const StoreWrite& write, const CallResult& result);
    void restartWatches();
    void suspectSilence(TimePoint lastAnswerAt);
    void countCall(const char* action, const std::string& kind, bool mayBeStale) const;
    enum class ReadPath {
        Usual,
        BothWays, // See StoreTransport::callBothWays().
    };
    void listFrom(const std::string& kind, bool mayBeStale, ReadPath path, StorePage collected,
        const PageCallback& done);
    StoreTransport::CallId fetchEvents(
        const std::string& kind, int64_t afterRevision, bool mayBeStale, const PageCallback& done);

    asio::io_context& loop_;
    StoreTransport& transport_;
    StoreDialect dialect_;
    StoreRetryBackoff backoff_;
    Counters* counters_ = nullptr;
    PageObserver pageObserver_;
    std::function<void(TimePoint at)> onCurrent_;
    TimePoint currentAt_;
    std::string probedKind_;
    bool isFollowing_ = false;
    int64_t era_ = 0;
    bool isEraKnown_ = false;
    std::function<void(int64_t era)> onNewEra_;
    std::function<Milliseconds()> relistDelay_;
    asio::steady_timer restartTimer_;
    asio::steady_timer probeTimer_;
    asio::steady_timer silenceTimer_;
    std::optional<TimePoint> suspectedSince_; // The last answer before the silence that was suspected last.
    std::map<std::string, std::shared_ptr<KindWatch>> watches_; // By kind.
};

}
