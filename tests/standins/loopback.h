#pragma once

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "sidecar/protocoladapter.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// An in-memory stand-in for the platform's store: objects by kind and name, conditional writes and
// long-polling watches.
class StandInStore {
public:
    StandInStore(asio::io_context& loop, const Address& address);

    void put(const std::string& kind, const std::string& name, const nlohmann::json& value);
    void remove(const std::string& kind, const std::string& name);
    nlohmann::json value(const std::string& kind, const std::string& name) const;
    nlohmann::json status(const std::string& kind, const std::string& name) const;

    // Answers every call with 503.
    void setDown(bool isDown) { isDown_ = isDown; }
    // Leaves calls for this kind unanswered from now on and handles the calls withheld so far. With an empty
    // kind no call is withheld.
    void withhold(const std::string& kind);
    // Delays the handling of every call by this time.
    void setDelay(Milliseconds delay) { delay_ = delay; }
    // Drops the event history: watches that start from an earlier revision receive 410 Gone.
    void compactHistory() { compactedTo_ = revision_; }
    // Answers the open watches with 503; watches that start from the current revision or earlier are never
    // answered from then on.
    void failWatches();
    // Maps an object's value to the value that readers receive.
    using View = std::function<nlohmann::json(
        const std::string& kind, const std::string& name, const nlohmann::json&)>;
    void setView(View view) { view_ = std::move(view); }
    // Applies the next `count` writes without sending a response.
    void dropNextWriteResponses(int count) { responsesToDrop_ = count; }

    // The revision of an object; 0 if it does not exist.
    int64_t revisionOf(const std::string& kind, const std::string& name) const;
    // Carries out a conditional write that was sent long ago. Returns whether its condition still holds.
    bool putIfUnchanged(
        const std::string& kind, const std::string& name, const nlohmann::json& value, int64_t revision);
    // Writes of these objects are carried out only by carryOutHeldWrites(), as those of a late store.
    void holdWrites(const std::string& kind, const std::string& namePrefix);
    size_t heldWrites() const { return heldWrites_.size(); }
    void carryOutHeldWrites();

    // Keeps a copy of all objects, and goes back to it: revisions are given out again, and all answers state
    // one era more. Open watches are cut off.
    void keepCopy() { copy_ = { objects_, revision_ }; }
    void restoreCopy();
    int64_t era() const { return era_; }

    // Never answers the first `count` open watches of the kind.
    void silenceWatches(const std::string& kind, size_t count);
    // The watches of the kind that wait for changes.
    size_t openWatches(const std::string& kind) const;

    int64_t revision() const { return revision_; }
    int64_t listCalls() const { return listCalls_; }
    int64_t writes() const { return writes_; }
    int64_t watchCalls() const { return watchCalls_; }
    // The watch calls that allow an answer from a stale replica.
    int64_t staleWatchCalls() const { return staleWatchCalls_; }

private:
    struct Object {
        nlohmann::json value;
        int64_t revision = 0;
        bool isDeleted = false;
        nlohmann::json status = nullptr;
    };
    struct Watch {
        std::string kind;
        int64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
    };
    struct HeldWrite {
        std::shared_ptr<HttpExchange> exchange;
        std::string kind;
        std::string name;
        bool isStatus = false;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    void handleUndelayed(const std::shared_ptr<HttpExchange>& exchange);
    void list(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind);
    void write(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind,
        const std::string& name, bool isStatus);
    void answerWatches();
    nlohmann::json objectOf(const Key& key) const;
    nlohmann::json eventsAfter(const std::string& kind, int64_t revision) const;
    void answer(const std::shared_ptr<HttpExchange>& exchange, int status, const nlohmann::json& body) const;

    asio::io_context& loop_;
    HttpServer server_;
    View view_;
    Milliseconds delay_ { 0 };
    int64_t compactedTo_ = 0;
    int64_t unansweredTo_ = 0;
    std::map<Key, Object> objects_;
    std::pair<std::map<Key, Object>, int64_t> copy_; // Objects and the revision.
    int64_t era_ = 0;
    int64_t listCalls_ = 0;
    std::vector<Watch> watches_;
    std::vector<Watch> silencedWatches_;
    int64_t revision_ = 1;
    int64_t writes_ = 0;
    int64_t watchCalls_ = 0;
    int64_t staleWatchCalls_ = 0;
    int responsesToDrop_ = 0;
    bool isDown_ = false;
    std::string withheldKind_;
    std::vector<std::shared_ptr<HttpExchange>> withheld_;
    std::vector<std::shared_ptr<HttpExchange>> unansweredWrites_;
    std::optional<Key> heldObjects_; // The kind and the prefix of the names.
    std::vector<HeldWrite> heldWrites_;
};

struct StandInServerOptions {
    std::string id;
    std::string service;
    std::string zone;
    Address address; // The server listens on it.
    Address reportAddress; // Of its daemon.
    std::optional<Address> reportedAddress {}; // As its reports state it, if it is not `address`.
    int64_t startedMs = 17;
    std::string version {};
};

// A stand-in for a backend server: reports to its daemon, holds the key ranges that the daemon grants and
// answers requests.
class StandInServer {
public:
    // An inclusive range of keys with the fencing token under which it is held.
    struct HeldRange {
        int64_t first = 0;
        int64_t last = 0;
        int64_t fence = 0;
    };

    StandInServer(asio::io_context& loop, StandInServerOptions options);

    void report();
    // Stops the periodic reports; report() still works.
    void stopReports();
    // Whether the reports say that the server is draining.
    void setDraining(bool isDraining = true) { isDraining_ = isDraining; }
    // While holding, requests are answered only by answerHeldRequests().
    void holdResponses(bool isHolding) { isHoldingResponses_ = isHolding; }
    void answerHeldRequests();
    // Sets how long the server works on each request.
    void setWorkTime(Milliseconds time) { workTime_ = time; }
    // Sets the HTTP status of the answers.
    void setStatus(int status) { status_ = status; }
    // Sets how many requests the server reports to run at once.
    void setSlots(int slots) { slots_ = slots; }
    // The server is cold from now on; its health path and its reports say so.
    void setCold(Milliseconds time) { coldUntil_ = BootClock::now() + time; }
    // Whether the reports say that the server is cold; its health path does in any case.
    void setReportsCold(bool reportsCold) { reportsCold_ = reportsCold; }
    // Deregisters from the daemon but continues to serve. `done` gets the status of the answer, 0 if there is
    // none.
    void leave(std::function<void(int status)> done = nullptr);
    // Stops as in a crash; the server holds no ranges afterwards.
    void stop();
    bool isUp() const { return !isStopped_; }

    // Handlers for requests that start to run and for ranges that the server did not hold before.
    void setRunHandler(std::function<void(const HttpRequest&)> handler) { onRun_ = std::move(handler); }
    void setRangeAcquiredHandler(std::function<void(const HeldRange&)> handler)
    {
        onRangeAcquired_ = std::move(handler);
    }

    const std::vector<HttpRequest>& runs() const { return runs_; }
    int64_t reports() const { return sequence_; }
    bool isReportAnswered() const { return openReports_ == 0; }
    // Status of the last answer to a report; 0 if there is none.
    int reportStatus() const { return reportStatus_; }
    const std::string& id() const { return options_.id; }
    bool holds(int key) const;
    // Whether the server holds keys of the range or still works on a request for one of them.
    bool isBusyWith(const HeldRange& range) const;
    int64_t heldRangeCount() const { return static_cast<int64_t>(holds_.size()); }

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange);
    void schedule();
    void applyReportResponse(const std::string& answer, TimePoint sentAt);
    void sendResponse(const std::shared_ptr<HttpExchange>& exchange);
    bool isWorkingIn(const HeldRange& range) const;
    nlohmann::json takeReleased();
    Milliseconds coldFor() const;

    StandInServerOptions options_;
    HttpServer server_;
    HttpClient client_;
    asio::steady_timer timer_;
    asio::io_context& loop_;
    int64_t sequence_ = 0;
    int openReports_ = 0;
    int reportStatus_ = 0;
    bool isDraining_ = false;
    bool isHoldingResponses_ = false;
    bool isStopped_ = false;
    bool isReporting_ = true;
    Milliseconds workTime_ { 0 };
    int status_ = 200;
    int slots_ = 2;
    TimePoint coldUntil_;
    bool reportsCold_ = true;
    std::vector<HeldRange> holds_;
    std::vector<HeldRange>
        releasing_; // Withdrawn; not reported as released while a request still uses a key.
    std::multiset<int64_t> workingKeys_; // Keys of the running requests.
    TimePoint holdsUntil_;
    std::function<void(const HttpRequest&)> onRun_;
    std::function<void(const HeldRange&)> onRangeAcquired_;
    std::vector<HttpRequest> runs_;
    std::vector<std::shared_ptr<HttpExchange>> heldRequests_;
};

}
