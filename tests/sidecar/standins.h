#pragma once

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "sidecar/edges.h"

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
    // Carries the next writes out without answering them.
    void loseAnswersOfNextWrites(int count) { lostAnswers_ = count; }

    int64_t writes() const { return writes_; }

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
    void list(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind);
    void write(
        const std::shared_ptr<HttpExchange>& exchange, const std::string& kind, const std::string& name);
    void answerWatches();
    nlohmann::json objectOf(const Key& key) const;
    nlohmann::json eventsAfter(const std::string& kind, int64_t revision) const;
    static void answer(const std::shared_ptr<HttpExchange>& exchange, int status, const nlohmann::json& body);

    HttpServer server_;
    std::map<Key, Object> objects_;
    std::vector<Watch> watches_;
    int64_t revision_ = 1;
    int64_t writes_ = 0;
    int lostAnswers_ = 0;
    bool isDown_ = false;
    std::vector<std::shared_ptr<HttpExchange>> lost_;
};

// A backend server on loopback: reports to its daemon, holds what it is told, answers requests.
class StandInServer {
public:
    StandInServer(asio::io_context& loop, std::string id, std::string service, const Address& address,
        const Address& reportAddress);

    void report();
    // Reports only when told to.
    void stopReports() { timer_.cancel(); }
    void setDraining() { isDraining_ = true; }
    // Answers requests only when told to.
    void holdAnswers(bool isHolding) { isHolding_ = isHolding; }
    void answerHeld();
    void stop();

    const std::vector<HttpRequest>& runs() const { return runs_; }
    int64_t reports() const { return sequence_; }
    bool isReportAnswered() const { return openReports_ == 0; }
    const std::string& id() const { return id_; }
    bool holds(int key) const;
    int64_t holdsCount() const { return static_cast<int64_t>(holds_.size()); }

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange);
    void schedule();
    void take(const std::string& answer);

    std::string id_;
    std::string service_;
    HttpServer server_;
    HttpClient client_;
    asio::steady_timer timer_;
    int64_t sequence_ = 0;
    int openReports_ = 0;
    bool isDraining_ = false;
    bool isHolding_ = false;
    bool isStopped_ = false;
    std::vector<std::vector<int64_t>> holds_;
    TimePoint holdsUntil_;
    nlohmann::json released_ = nlohmann::json::array();
    std::vector<HttpRequest> runs_;
    std::vector<std::shared_ptr<HttpExchange>> held_;
};

}
