// A small deployment on loopback for the cases of this review: the project's program as separate processes, its
// own stand-in for the store, and upstreams and clients that speak what PROTOCOL.md says.

#pragma once

#include "fleet/process.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "standins/faultproxy.h"
#include "standins/loopback.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

using namespace persimmonfield;
using nlohmann::json;

inline constexpr const char* host = "127.0.0.1";
inline constexpr Milliseconds heartbeat { 870 };
inline constexpr Milliseconds ackTimeout { 1'000 };

// Whether the case injects its disruption.
inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

// A port that nothing listens on now. It is below the range from which the system takes ports of its own.
inline int freePort()
{
    static int next = 20'000 + static_cast<int>(getpid() % 500) * 16;
    for (;; ++next) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(next));
        inet_pton(AF_INET, host, &address.sin_addr);
        const bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree)
            return next++;
    }
}

inline Address newAddress()
{
    return { host, freePort() };
}

// What was sent, answered and run, in record.txt of the case's folder.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
        , begun_(BootClock::now())
    {
    }

    double seconds() const { return std::chrono::duration<double>(BootClock::now() - begun_).count(); }

    void add(const std::string& text) { file_ << fmt::format("{:9.3f} s  {}\n", seconds(), text) << std::flush; }

private:
    std::ofstream file_;
    TimePoint begun_;
};

// Thrown if a case cannot run.
struct CannotRun {
    std::string cause;
};

// One upstream process. A second object with the same id is a later life of it.
class Upstream {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        Address address; // It listens on it.
        Address reportedAddress; // As its reports state it.
        Address control; // Of its node.
        bool isKeyed = false; // It serves only the keys that it holds.
    };

    // An inclusive range of keys with its epoch number.
    struct HeldRange {
        int first = 0;
        int last = 0;
        int64_t fence = 0;
    };

    Upstream(asio::io_context& loop, Options options, Record& record)
        : loop_(loop)
        , options_(std::move(options))
        , record_(record)
        , server_(loop, [this](const auto& exchange) { handle(exchange); })
        , timer_(loop)
        , born_(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        HttpServerLimits limits;
        limits.bodyBytes = 64UL * 1024 * 1024;
        limits.idleTimeout = Milliseconds(10'000);
        server_.setLimits(limits);
        if (!server_.listen(options_.address).ok())
            throw CannotRun { "an upstream cannot listen" };
        setControl(options_.control);
        record_.add(fmt::format("upstream {} starts, born {}", options_.id, born_));
        report();
    }

    // Reports go to this address from now on.
    void setControl(const Address& control)
    {
        HttpClientOptions options;
        options.address = control;
        options.connectTimeout = ackTimeout;
        clients_.push_back(std::make_unique<HttpClient>(loop_, options));
    }

    void stopReports() { timer_.cancel(); isReporting_ = false; }
    void setState(const std::string& state) { state_ = state; }

    void report()
    {
        json body { { "service", options_.service }, { "address", options_.reportedAddress.text() },
            { "zone", options_.zone }, { "version", "v1" }, { "slots", 12 }, { "state", state_ },
            { "warmupLeft", "0ms" }, { "sequence", ++sequence_ }, { "born", born_ } };
        if (options_.isKeyed)
            addKeys(body);
        if (!options_.isKeyed)
            record_.add(fmt::format("upstream {} sends report {}, state {}", options_.id, sequence_, state_));
        HttpRequest request { "PUT", "/instances/" + options_.id, { { "Content-Type", "application/json" } }, body.dump() };
        clients_.back()->call(std::move(request), ackTimeout, [this, number = sequence_, sentAt = BootClock::now()](const CallResult& result) {
            const bool isAnswered = result.outcome == CallOutcome::Answered;
            if (isAnswered && result.response.status == 200 && options_.isKeyed && number == sequence_)
                applyKeys(result.response.body, sentAt);
            if (!options_.isKeyed || !isAnswered)
                record_.add(fmt::format("upstream {}: report {} is {}", options_.id, number,
                isAnswered ? fmt::format("answered {}", result.response.status) : "not answered in a second"));
        }, Reuse::Forbidden);
        if (!isReporting_)
            return;
        timer_.expires_after(heartbeat);
        timer_.async_wait([this](std::error_code error) {
            if (!error && !isDown_)
                report();
        });
    }

    // Sends the DELETE of a planned shutdown; `done` gets the status of its answer, 0 if there is none.
    void leave(std::function<void(int)> done)
    {
        stopReports();
        record_.add(fmt::format("upstream {} sends its DELETE", options_.id));
        HttpRequest request { "DELETE", "/instances/" + options_.id, { { "Content-Type", "application/json" } },
            json { { "born", born_ } }.dump() };
        clients_.back()->call(std::move(request), ackTimeout, [this, done](const CallResult& result) {
            const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
            record_.add(fmt::format("upstream {}: its DELETE is answered {}", options_.id, status));
            done(status);
        }, Reuse::Forbidden);
    }

    // Ends as in a crash.
    void crash()
    {
        isDown_ = true;
        timer_.cancel();
        server_.stop();
        record_.add(fmt::format("upstream {} crashes", options_.id));
    }

    bool holds(int key) const
    {
        return BootClock::now() < holdsUntil_
            && std::any_of(holds_.begin(), holds_.end(), [key](const HeldRange& range) { return range.first <= key && key <= range.last; });
    }
    const std::string& id() const { return options_.id; }

    void setRunHandler(std::function<void(const HttpRequest&)> handler) { onRun_ = std::move(handler); }
    size_t runs() const { return runs_; }

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange)
    {
        const HttpRequest& request = exchange->request();
        HttpResponse response;
        response.status = 200;
        if (request.target == "/healthz") {
            response.headers.push_back({ "Persimmonfield-Instance-Id", options_.id });
            response.headers.push_back({ "Persimmonfield-Warmup-Ms", "0" });
            return exchange->respond(std::move(response));
        }
        const std::string* id = request.header("Persimmonfield-Request-Id");
        const std::string* expected = request.header("Persimmonfield-Expect-Instance");
        if (id)
            response.headers.push_back({ "Persimmonfield-Request-Id", *id });
        const std::string* key = request.header("Persimmonfield-Shard-Key");
        const bool isOwner = !options_.isKeyed || (key && holds(std::atoi(key->c_str())));
        if ((expected && *expected != options_.id) || !isOwner) {
            response.status = 421;
            response.headers.push_back({ "Persimmonfield-Not-Executed", "instance" });
            return exchange->respond(std::move(response));
        }
        ++runs_;
        if (onRun_)
            onRun_(request);
        response.headers.push_back({ "Persimmonfield-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1" });
        response.headers.push_back({ "Persimmonfield-Server-Load", "1,0,12,100" });
        response.body = "answer to " + (id ? *id : std::string());
        const auto timer = std::make_shared<asio::steady_timer>(loop_, Milliseconds(20));
        timer->async_wait([timer, exchange, response](std::error_code) { exchange->respond(response); });
    }

    // Adds what it holds, and what it has released since its last acknowledged report.
    void addKeys(json& body) const
    {
        json holds = json::array();
        if (BootClock::now() < holdsUntil_) {
            for (const HeldRange& range : holds_)
                holds.push_back({ range.first, range.last, range.fence });
        }
        json released = json::array();
        for (const HeldRange& range : released_)
            released.push_back({ range.first, range.last, "5c0e7a21d94b36f8" });
        body["holds"] = std::move(holds);
        body["released"] = std::move(released);
    }

    // Takes the keys of an answer that arrived within a second. Whatever is left out is released.
    void applyKeys(const std::string& text, TimePoint sentAt)
    {
        released_.clear();
        const json answer = json::parse(text);
        if (!answer.contains("holds"))
            return;
        std::vector<HeldRange> before = std::exchange(holds_, {});
        if (BootClock::now() >= holdsUntil_)
            before.clear();
        for (const json& row : answer.at("holds"))
            holds_.push_back({ row.at(0), row.at(1), row.at(2) });
        holdsUntil_ = sentAt + Milliseconds(std::stoll(answer.at("hold_time").get<std::string>()));
        std::string rows;
        for (const HeldRange& range : holds_)
            rows += fmt::format(" {} to {} at {},", range.first, range.last, range.fence);
        if (std::exchange(rows_, rows) != rows)
            record_.add(fmt::format("upstream {} now holds{}", options_.id, rows.empty() ? " nothing" : rows));
        for (const HeldRange& range : before) {
            const bool isKept = std::any_of(holds_.begin(), holds_.end(),
                [&range](const HeldRange& each) { return each.first <= range.first && range.last <= each.last; });
            if (!isKept)
                released_.push_back(range);
        }
        if (!released_.empty() && isReporting_) {
            timer_.expires_after(Milliseconds(50));
            timer_.async_wait([this](std::error_code error) {
                if (!error && !isDown_)
                    report();
            });
        }
    }

    asio::io_context& loop_;
    Options options_;
    Record& record_;
    HttpServer server_;
    std::vector<HeldRange> holds_;
    std::vector<HeldRange> released_;
    TimePoint holdsUntil_;
    std::string rows_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    asio::steady_timer timer_;
    int64_t born_;
    int64_t sequence_ = 0;
    std::string state_ = "ready";
    bool isReporting_ = true;
    bool isDown_ = false;
    size_t runs_ = 0;
    std::function<void(const HttpRequest&)> onRun_;
};

// One machine: the addresses of its node and upstream, and the node's process.
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    Address caller = newAddress();
    Address ready = newAddress();
    Address control = newAddress();
    Address upstream = newAddress(); // As the settings state it.
    Address upstreamListen = upstream; // Where the upstream listens, if a proxy is before it.
    Address store; // Its way to the store, if that is not direct.
    int firstPort = 0;
    std::unique_ptr<persimmonfield::testing::Process> process;
    std::unique_ptr<HttpClient> client;
};

class Fleet {
public:
    explicit Fleet(const std::string& recordPath)
        : record(recordPath)
    {
        const char* directory = std::getenv("CASE_DIRECTORY");
        if (!directory)
            throw CannotRun { "CASE_DIRECTORY is not set" };
        directory_ = directory;
        storeAddress_ = newAddress();
        store = std::make_unique<StandInStore>(loop, storeAddress_);
    }

    Machine& addMachine(const std::string& zone, const std::string& service)
    {
        machines.push_back(std::make_unique<Machine>());
        Machine& machine = *machines.back();
        machine.name = fmt::format("auxiliary-{}-{}", zone, machines.size());
        machine.zone = zone;
        machine.service = service;
        machine.firstPort = freePort();
        freePort();
        HttpClientOptions options;
        options.address = machine.caller;
        machine.client = std::make_unique<HttpClient>(loop, options);
        return machine;
    }

    // Fills in the template of the settings as the platform does, with the figures of DEPLOY.md. Returns the
    // path of the file.
    std::string writeSettings(const Machine& machine) const
    {
        const std::string path = directory_ + "/" + machine.name + ".ini";
        std::ofstream(path) << "[instance]\nname = " << machine.name << "\nzone = " << machine.zone
                            << "\nservice = " << machine.service << "\ncaller-address = " << machine.caller.text()
                            << "\nreport-address = " << machine.control.text()
                            << "\nreadiness-address = " << machine.ready.text() << "\nhost = " << host
                            << "\ninternal-ports = " << machine.firstPort << "," << machine.firstPort + 1
                            << "\nserver-address = " << machine.upstream.text()
                            << "\nstore-address = " << (machine.store.port > 0 ? machine.store : storeAddress_).text()
                            << "\nreport-interval = 870ms\n\n[machine]\ncores = 0.2\nmemory = 260\ndescriptors = 4100\n\n"
                               "[bounds]\nseedLag = 3s\naddrReuse = 2s\ncontact = 3000ms\nack = 4000ms\ncatchUp = 4s\n"
                               "drain = 2000ms\ngrace = 6s\nlossSlack = 200ms\nconfigApply = 2000ms\n"
                               "rollbackSlack = 250ms\nmaxSkew = 5000ms\nretryBudgetRatio = 0.2\nbudgetWindow = 10s\n"
                               "retryBudgetSlack = 56\nquotaWindow = 5s\nquotaOverage = 0.1\nquotaSlack = 20\n"
                               "warmupOverload = 1.5\nwarmupSlack = 5\nevacuation = 5000ms\nrecovery = 15s\n"
                               "maxHold = 10000ms\nthawSlack = 300ms\n";
        return path;
    }

    void startNode(Machine& machine)
    {
        setenv("PERSIMMONFIELD_CONFIG", writeSettings(machine).c_str(), 1);
        record.add("node " + machine.name + " starts");
        machine.process = std::make_unique<persimmonfield::testing::Process>(
            std::vector<std::string> { "target/persimmonfield-platform" }, directory_ + "/" + machine.name + ".log");
    }

    void runFor(Milliseconds time)
    {
        const TimePoint end = BootClock::now() + time;
        while (BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(5));
        }
    }

    bool runUntil(const std::function<bool()>& condition, Milliseconds limit)
    {
        const TimePoint end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            loop.restart();
            loop.run_one_for(Milliseconds(5));
        }
        return true;
    }

    // Waits until the node answers its readiness checks with 200.
    void awaitReady(const Machine& machine)
    {
        bool isReady = false;
        HttpClientOptions options;
        options.address = machine.ready;
        HttpClient client(loop, options);
        for (int i = 0; i < 200 && !isReady; ++i) {
            client.call({ "GET", "/readyz", {}, {} }, Milliseconds(1'000), [&isReady](const CallResult& result) {
                isReady = isReady || (result.outcome == CallOutcome::Answered && result.response.status == 200);
            });
            runFor(Milliseconds(100));
        }
        if (!isReady)
            throw CannotRun { "node " + machine.name + " is not ready" };
    }

    HttpRequest request(const std::string& method, const std::string& path)
    {
        return { method, path,
            { { "Host", "jepu9.example" }, { "Persimmonfield-Request-Id", fmt::format("{:016x}", ++requests_) },
                { "Persimmonfield-Deadline-Ms", "2000" } },
            {} };
    }

    const Address& storeAddress() const { return storeAddress_; }

    asio::io_context loop { 1 };
    Record record;
    std::unique_ptr<StandInStore> store;
    std::vector<std::unique_ptr<Machine>> machines;

private:
    std::string directory_;
    Address storeAddress_;
    int64_t requests_ = 0;
};

// A route of a service without keys.
inline json rule(const std::string& name, const std::string& type, const std::string& prefix, const std::string& service)
{
    return { { "name", name }, { "type", type }, { "targetLatency", "600ms" }, { "priority", 1 },
        { "match", { { "pathPrefix", prefix } } },
        { "action", { { "service", service }, { "timeout", "2s" }, { "maxAttempts", 2 } } } };
}

inline json configuration(const std::vector<json>& rules, const std::vector<std::string>& services)
{
    json clusters = json::array();
    for (const std::string& service : services)
        clusters.push_back({ { "name", service }, { "healthPath", "/healthz" }, { "warmupPerS", 23 } });
    return { { "version", "r12" }, { "listeners", { { { "host", "jepu9.example" }, { "routingRules", rules } } } },
        { "clusters", clusters },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 }, { "headerTimeout", "3s" }, { "idleTimeout", "15s" } } } };
}

// Runs the case; its result is the exit code.
inline int runCase(const std::function<bool()>& holds)
{
    try {
        const bool isKept = holds();
        std::printf("%s\n", isKept ? "the rule held" : "the rule was broken");
        return isKept ? 0 : 1;
    } catch (const CannotRun& error) {
        std::printf("cannot run: %s\n", error.cause.c_str());
        return 2;
    }
}

}
