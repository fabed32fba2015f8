#pragma once

#include "ownership/keygranter.h"
#include "ownership/keyload.h"
#include "ownership/loadspread.h"
#include "sidecar/fleetdirectory.h"
#include "sidecar/keyleaseduty.h"
#include "sidecar/loadboard.h"
#include "sidecar/sidecarsettings.h"
#include "sidecar/zonesout.h"
#include "store/storesession.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonfield {

struct ServerReport;

struct KeyDutyOptions {
    asio::io_context* loop = nullptr;
    SidecarSettings settings;
    std::string incarnation;
    StoreSession* store = nullptr;
    FleetDirectory* directory = nullptr;
    std::function<std::optional<ServerIncarnation>()> serverLife;
    std::function<bool()> isServerReady; // Neither leaving nor silent.
    const ZonesOut* zones = nullptr;
    std::function<double(TimePoint now)> ownBusyness; // As LoadBoard has it of others.
    const LoadBoard* loads = nullptr;
    // The key table or the leases have changed by a write of this instance.
    std::function<void()> onChange;
    // A written table concerns another instance: a range is to move there, or is its own now.
    std::function<void(const std::string& instance, int64_t revision)> onConcerned;
};

// Beside the server of a service that is divided by key: tells the server what it holds by this instance's
// lease, settles this instance's ranges, and plans the table where this instance is the first of those
// whose lease is fresh. Two planners at once do no harm: the table is written under a condition.
class KeyDuty {
public:
    explicit KeyDuty(KeyDutyOptions options);

    void start();

    // Calls `done` with what the server is to hold. Waits where it may be given keys soon, so that it need
    // not report again for them.
    void answer(const ServerReport& report, const std::function<void(KeyAnswer)>& done);
    bool mayRun(int key, TimePoint now) const { return holder_.mayRun(key, now); }

    // A request for a key of this instance's server has come.
    void noteRequest(int key, TimePoint now);

    // Members, zones or the table have changed.
    void onDirectoryChange();

private:
    void step();
    void scheduleStep();
    void confirmRanges();
    void updateTable();
    std::optional<stored::KeyTable> dueTable(TimePoint now);
    std::optional<stored::KeyTable> settled(
        const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now) const;
    std::optional<stored::KeyTable> offloaded(
        const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now);
    std::vector<MemberLoad> lessBusy(const std::vector<KeyMember>& members, double most, TimePoint now);
    bool isPlanner(const std::vector<KeyMember>& members, TimePoint now) const;
    bool mayMakeFirstTable(const std::vector<KeyMember>& members, TimePoint now);
    void writeTable(const stored::KeyTable& table, int64_t expectedRevision, bool isConfirmation);
    void sendTable();
    void tableWritten(const StoreWriteResult& result);
    void notifyConcerned(
        const stored::KeyTable& before, const stored::KeyTable& after, int64_t revision) const;
    stored::KeyTable grantableTable() const;
    KeyAnswer answerNow(const ServerReport& report);
    bool mayGrantSoon() const;
    bool isAwaitingRange() const;
    size_t ownRangeCount() const;
    Duration deferTime(const ServerReport& report, const KeyAnswer& answer) const;
    void answerDeferredIfDue();
    void answerDeferred();

    KeyDutyOptions options_;
    asio::steady_timer timer_;
    asio::steady_timer retryTimer_;
    asio::steady_timer deferTimer_;
    KeyLeaseDuty leases_;
    KeyGranter holder_;
    std::function<uint64_t()> random_;
    // A write of the table whose end is not known yet. It may still take effect, so it is repeated until it
    // is, and what it gives away is not granted meanwhile.
    struct PendingTable {
        stored::KeyTable table;
        int64_t expectedRevision = 0;
        bool isConfirmation = false;
    };
    std::optional<PendingTable> pendingTable_;
    // A report that waits for its answer.
    struct Deferred {
        std::shared_ptr<ServerReport> report;
        std::function<void(KeyAnswer)> done;
        size_t ownRanges = 0; // In the table when it came.
    };
    std::optional<Deferred> deferred_;
    bool isAloneAtAddress_ = false;
    TimePoint nextTableWrite_;
    KeyLoad load_;
    TimePoint nextOffload_;
    bool isConfirming_ = false;
    size_t lastMemberCount_ = 0;
    TimePoint membersStableSince_;
};

}
