#pragma once

#include "ownership/keygranter.h"
#include "ownership/keyload.h"
#include "ownership/keyoffload.h"
#include "ownership/keyrecovery.h"
#include "ownership/loadspread.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/fleetdirectory.h"
#include "sidecar/keyleasemanager.h"
#include "sidecar/keytablewrite.h"
#include "sidecar/peerloadtracker.h"
#include "sidecar/sidecarsettings.h"
#include "store/storesession.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonfield {

struct ServerReport;

struct KeyRangeManagerOptions {
    asio::io_context* loop = nullptr;
    SidecarSettings settings;
    std::string incarnation;
    StoreSession* store = nullptr;
    FleetDirectory* directory = nullptr;
    std::function<std::optional<ServerIncarnation>()> serverIncarnation;
    std::function<bool()> isServerReady; // False while the server is draining or has stopped reporting.
    const EvacuatedZones* zones = nullptr;
    std::function<double(TimePoint now)> ownBusyness; // On the same scale as PeerLoadTracker::busyness.
    const PeerLoadTracker* peerLoads = nullptr;
    // Called after a write of this instance has changed the key table or its lease.
    std::function<void()> onChange;
    // Called for each other instance that has to act on an object of the table written here: it now owns a
    // range, or a range is going to move to it or away from it.
    std::function<void(const std::string& instance, const StoreObject& object)> onInstanceAffected;
    // Whether the server next to the instance may be given keys, as far as its version is concerned.
    std::function<bool(const std::string& instance)> mayOwnKeys;
};

// Manages the key ranges of the local server, for a service that is divided by key. Grants keys to the server
// under this instance's lease and updates this instance's ranges in the service's key table. Also plans the
// whole table while this instance is the first, by name, of the members with a fresh lease. Two instances
// that plan at the same time do no harm, since the table is written conditionally on its revision.
class KeyRangeManager {
public:
    explicit KeyRangeManager(KeyRangeManagerOptions options);

    void start();

    // The store is in a new era. To be called while the directory still is in the one before.
    void onNewEra(int64_t era);

    // Answers a report: calls `done` with the keys that the server is to hold. The answer is deferred when
    // the server may be granted keys soon, so that it doesn't have to send another report to receive them.
    void handleReport(const ServerReport& report, const std::function<void(KeyAnswer)>& done);
    bool mayRun(int key, TimePoint now) const { return granter_.mayRun(key, now); }

    // Counts a request for a key that the local server owns.
    void recordRequest(int key, TimePoint now);

    // Must be called when the members, the evacuated zones or the key table have changed.
    void onDirectoryChange();

private:
    void step();
    void scheduleStep();
    void confirmRanges();
    void confirmNextPart();
    void abandonConfirmation();
    void updateTable();
    std::optional<stored::KeyTable> nextTable(TimePoint now);
    std::optional<stored::KeyTable> tableAfterTransfer(
        const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now) const;
    void planOffload(const std::vector<KeyMember>& members, TimePoint now);
    std::vector<MemberLoad> lessBusyMembers(
        const std::vector<KeyMember>& members, double maxBusyness, TimePoint now);
    bool isPlanner(const std::vector<KeyMember>& members, TimePoint now) const;
    bool mayCreateFirstTable(const std::vector<KeyMember>& members, TimePoint now);
    std::optional<stored::KeyTable> tableWithMissingParts(
        const stored::KeyTable& table, const std::vector<KeyMember>& members) const;
    KnownKeyTable knownTable(const stored::KeyTable& table) const;
    int64_t newestLapsedRevision(const stored::KeyTable& table, TimePoint now) const;
    void writeTable(KeyTableWrite write, bool isConfirmation);
    void sendTable();
    void endConfirmation();
    void onTableWritten(const StoreWriteResult& result);
    void notifyAffected(
        const stored::KeyTable& before, const stored::KeyTable& after, const StoreObject& object) const;
    stored::KeyTable grantableTable(TimePoint now) const;
    TimePoint grantableUntil(TimePoint now) const;
    KeyAnswer answerNow(const ServerReport& report);
    bool mayGrantSoon() const;
    bool isAwaitingRange() const;
    size_t ownRangeCount() const;
    Duration deferTime(const ServerReport& report, const KeyAnswer& answer) const;
    void answerDeferredIfDue();
    void answerDeferred();

    KeyRangeManagerOptions options_;
    asio::steady_timer timer_;
    asio::steady_timer retryTimer_;
    asio::steady_timer deferTimer_;
    KeyLeaseManager leases_;
    KeyGranter granter_;
    KeyRecovery recovery_;
    std::function<uint64_t()> random_;
    // A table write whose outcome is not known yet. Since it may still take effect, it is retried until the
    // outcome is known, and the ranges that it reassigns are not granted in the meantime.
    struct PendingTable {
        KeyTableWrite write;
        bool isConfirmation = false;
    };
    std::optional<PendingTable> pendingTable_;
    int64_t tableWrites_ = 0; // Sent so far.
    // A report whose answer is deferred.
    struct DeferredReport {
        std::shared_ptr<ServerReport> report;
        std::function<void(KeyAnswer)> done;
        size_t ownRanges = 0; // Ranges owned by this instance when the report arrived.
    };
    std::optional<DeferredReport> deferredReport_;
    bool isOnlyServerAtAddress_ = false;
    TimePoint nextTableWrite_;
    KeyLoad load_;
    TimePoint nextOffload_;
    KeyOffload offload_;
    // The confirmation of the ranges after the lease was acquired.
    struct Confirmation {
        int64_t number = 0;
        int64_t losses = 0; // Of the lease when the confirmation began.
        int nextPart = 0; // The parts before this one are confirmed.
        int writes = 0;
    };
    std::optional<Confirmation> confirmation_;
    int64_t confirmations_ = 0; // Begun so far.
    size_t lastMemberCount_ = 0;
    TimePoint membersStableSince_;
};

}
