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
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// The platform's store on loopback: objects by kind and name, conditional writes, waiting watches.
class StandInStore {
public:
    StandInStore(asio::io_context& loop, const Address& address);

    void put(const std::string& kind, const std::string& name, const nlohmann::json& value);
    void remove(const std::string& kind, const std::string& name);
    nlohmann::json value(const std::string& kind, const std::string& name) const;

    // Answers every call with 503.
    void setDown(bool isDown) { isDown_ = isDown; }
    // Does not answer calls for the kind from now on; answers those that waited when the kind is empty.
    void withhold(const std::string& kind);
    // Answers every call that much later.
    void setDelay(Milliseconds delay) { delay_ = delay; }
    // Watches from before now are told that their history is gone.
    void forgetHistory() { forgottenTo_ = revision_; }
    // Breaks the waiting watches off; those that go on from before now are never answered.
    void cutWatches();
    // What readers are shown of an object's value.
    using View = std::function<nlohmann::json(
        const std::string& kind, const std::string& name, const nlohmann::json&)>;
    void setView(View view) { view_ = std::move(view); }
    // Carries the next writes out without answering them.
    void loseAnswersOfNextWrites(int count) { lostAnswers_ = count; }

    int64_t revision() const { return revision_; }
    int64_t writes() const { return writes_; }
    int64_t watchCalls() const { return watchCalls_; }
    // Those of them that may be answered from a stale copy.
    int64_t staleWatchCalls() const { return staleWatchCalls_; }

private:
    struct Object {
        nlohmann::json value;
        int64_t revision = 0;
        bool isDeleted = false;
    };
    struct Watch {
        std::string kind;
        int64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    void handleNow(const std::shared_ptr<HttpExchange>& exchange);
    void list(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind);
    void write(
        const std::shared_ptr<HttpExchange>& exchange, const std::string& kind, const std::string& name);
    void answerWatches();
    nlohmann::json objectOf(const Key& key) const;
    nlohmann::json eventsAfter(const std::string& kind, int64_t revision) const;
    static void answer(const std::shared_ptr<HttpExchange>& exchange, int status, const nlohmann::json& body);

    asio::io_context& loop_;
    HttpServer server_;
    View view_;
    Milliseconds delay_ { 0 };
    int64_t forgottenTo_ = 0;
    int64_t unansweredTo_ = 0;
    std::map<Key, Object> objects_;
    std::vector<Watch> watches_;
    int64_t revision_ = 1;
    int64_t writes_ = 0;
    int64_t watchCalls_ = 0;
    int64_t staleWatchCalls_ = 0;
    int lostAnswers_ = 0;
    bool isDown_ = false;
    std::string withheldKind_;
    std::vector<std::shared_ptr<HttpExchange>> withheld_;
    std::vector<std::shared_ptr<HttpExchange>> lost_;
};

// A backend server on loopback: reports to its daemon, holds what it is told, answers requests.
class StandInServer {
public:
    // A range of keys from the first to the last, with the fence under which it is held.
    struct Held {
        int64_t first = 0;
        int64_t last = 0;
        int64_t fence = 0;
    };

    StandInServer(asio::io_context& loop, std::string id, std::string service, const Address& address,
        const Address& reportAddress, int64_t startedMs = 17);

    void report();
    // Reports only when told to.
    void stopReports() { timer_.cancel(); }
    void setDraining() { isDraining_ = true; }
    // Answers requests only when told to.
    void holdAnswers(bool isHolding) { isHolding_ = isHolding; }
    void answerHeld();
    // Each request takes that long.
    void setWorkTime(Milliseconds time) { workTime_ = time; }
    // Tells its daemon that it has left; it goes on serving.
    void leave();
    // Ends as in a crash: it holds nothing any more.
    void stop();
    bool isUp() const { return !isStopped_; }

    // Called when a request begins to run, and when ranges are taken that were not held before.
    void setRunHandler(std::function<void(const HttpRequest&)> handler) { onRun_ = std::move(handler); }
    void setTakeHandler(std::function<void(const Held&)> handler) { onTake_ = std::move(handler); }

    const std::vector<HttpRequest>& runs() const { return runs_; }
    int64_t reports() const { return sequence_; }
    bool isReportAnswered() const { return openReports_ == 0; }
    const std::string& id() const { return id_; }
    bool holds(int key) const;
    // Whether it holds keys of the range or still works on one of them.
    bool isBusyWith(const Held& range) const;
    int64_t holdsCount() const { return static_cast<int64_t>(holds_.size()); }

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange);
    void schedule();
    void take(const std::string& answer, TimePoint sentAt);
    void respondTo(const std::shared_ptr<HttpExchange>& exchange);
    bool isWorkingIn(const Held& range) const;
    nlohmann::json takeReleased();

    std::string id_;
    std::string service_;
    HttpServer server_;
    HttpClient client_;
    asio::steady_timer timer_;
    asio::io_context& loop_;
    int64_t sequence_ = 0;
    int openReports_ = 0;
    bool isDraining_ = false;
    bool isHolding_ = false;
    bool isStopped_ = false;
    int64_t startedMs_;
    Milliseconds workTime_ { 0 };
    std::vector<Held> holds_;
    std::vector<Held> leaving_; // Let go, and not yet reported so: work on a key may last.
    std::multiset<int64_t> working_; // Keys of the requests that run.
    TimePoint holdsUntil_;
    std::function<void(const HttpRequest&)> onRun_;
    std::function<void(const Held&)> onTake_;
    std::vector<HttpRequest> runs_;
    std::vector<std::shared_ptr<HttpExchange>> held_;
};

}
